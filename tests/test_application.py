from __future__ import annotations

import gevent
import pytest

from marigoldwalk.application import Application
from marigoldwalk.config.settings import Settings
from marigoldwalk.config.view import Address
from marigoldwalk.core.parameters import Parameters
from marigoldwalk.errors import Code, MarigoldwalkError
from marigoldwalk.util.gevent_pool import GeventConnectionPool

TIMEOUT_S = 10.0
ANY_PORT = Address("127.0.0.1", 0)


def settings(caller_address=ANY_PORT):
    return Settings(
        name="m-1",
        domain="bud-a",
        caller_address=caller_address,
        peer_address=ANY_PORT,
        admin_address=ANY_PORT,
        platform="http://127.0.0.1:1",
        log_level="info",
        max_body_bytes=1000,
        parameters=Parameters(balancer_lag_s=0.0),
    )


def get(address, path):
    with gevent.Timeout(TIMEOUT_S):
        return GeventConnectionPool(address.host, address.port).request("GET", path)


def test_a_daemon_serves_its_addresses_and_stops_on_request():
    app = Application(settings())
    running = gevent.spawn(app.run)
    gevent.sleep(0)
    assert get(app.caller_address, "/live").status == 200
    assert get(app.caller_address, "/ready").status == 503
    assert get(app.admin_address, "/status").json()["name"] == "m-1"
    app.request_stop()
    assert running.get(timeout=TIMEOUT_S) == 0


def test_a_failed_step_of_the_core_ends_the_daemon_with_status_1(monkeypatch):
    app = Application(settings())

    def fail(now, events):
        raise RuntimeError("a fault")

    monkeypatch.setattr(app.core, "step", fail)
    assert app.run() == 1


def test_a_port_in_use_is_an_error():
    app = Application(settings())
    with pytest.raises(MarigoldwalkError) as raised:
        Application(settings(app.caller_address))
    assert raised.value.code is Code.PORT_TAKEN
    assert str(app.caller_address) in str(raised.value)
