"""Daemons that callers and other daemons reach and that reach no backend server."""

from __future__ import annotations

import time

import gevent
import pytest

from marigoldwalk.gateway import delegate_client
from marigoldwalk.gateway.connection import CONNECT_TIMEOUT_S
from marigoldwalk.gateway.delegate_client import STOPPED_HEADER
from marigoldwalk.routing.reachability import QUIET_S
from standins.gateway_backends import StandinServer, route_record

from ..daemon.scripted import TEST_TIMEOUT_S, scripted
from .backend import response
from .daemons import ask, request, wait_until
from .links import REFUSED, RESET, SILENT, introduce, linked_fleet

DETECTION_S = 1.5
"""Time after which a daemon must know that it reaches no server, less than half of what the users
allow."""
ROUTES = [
    route_record(),
    route_record("/once/", **{"route-kind": "unsafe", "service": "s-2"}),
    route_record(
        "/all/",
        service=None,
        **{"fanout-services": ["s-1", "s-2"], "top-k": 4, "min-coverage": 1.0},
    ),
]


def make_servers():
    return {
        f"s-{n}": [StandinServer(f"i-{n}-{copy}", bytes([64 + n]) * 16) for copy in range(2)]
        for n in (1, 2)
    }


def requests(tag):
    return [
        request("/one/1", request_id=f"{tag}-1"),
        request("/once/1", "POST", f"{tag}-2", body=b"a body"),
        request("/all/1", request_id=f"{tag}-3"),
        request("/one/2", request_id=f"{tag}-4"),
    ]


def ask_all(daemon, tag):
    """Send a request of each kind, each on a connection of its own; return the statuses."""
    return [ask(daemon, data)[0][0] for data in requests(tag)]


@pytest.mark.parametrize("how", [SILENT, RESET, REFUSED])
def test_callers_of_a_daemon_that_reaches_no_server_are_served(how):
    with linked_fleet(ROUTES, make_servers()) as fleet:
        assert ask_all(fleet.entry, "before") == [200] * 4
        fleet.cut(how)
        first = [gevent.spawn(ask_all, fleet.entry, f"first-{n}") for n in range(3)]
        gevent.sleep(DETECTION_S)
        began_at = time.monotonic()
        assert ask_all(fleet.entry, "cut") == [200] * 4
        assert time.monotonic() - began_at < 1.0
        for statuses in [greenlet.get(timeout=TEST_TIMEOUT_S) for greenlet in first]:
            # Until the links are found to be lost, a request may be refused, which is true.
            assert {statuses[0], *statuses[2:]} <= {200, 503}


def test_daemon_runs_its_requests_again_when_the_links_are_back():
    with linked_fleet(ROUTES, make_servers()) as fleet:
        fleet.cut(SILENT)
        wait_until_isolated(fleet.entry)
        fleet.heal()
        wait_until(lambda: not is_isolated(fleet.entry))
        forwarded = fleet.entry.gateway.world.counters["forward.isolated"]
        assert ask_all(fleet.entry, "after") == [200] * 4
        assert fleet.entry.gateway.world.counters["forward.isolated"] == forwarded


def test_caller_of_an_isolated_daemon_is_refused_at_once_if_no_other_daemon_reaches_servers():
    with linked_fleet(ROUTES, make_servers()) as fleet:
        fleet.cut(SILENT)
        wait_until_isolated(fleet.entry)
        introduce(fleet.entry, fleet.other, heartbeat=2, is_isolated=True)
        wait_until(lambda: not fleet.entry.gateway.is_ready())
        fleet.entry.gateway.world.reachability.heard_at -= QUIET_S
        began_at = time.monotonic()
        for data in requests("cut"):
            status, headers, body = ask(fleet.entry, data)[0]
            assert (status, body) == (503, b"servers_unreachable")
            assert float(headers["retry-after"]) > 0
        assert time.monotonic() - began_at < 0.5


def test_request_is_not_handed_on_by_the_daemon_that_was_asked():
    with linked_fleet(ROUTES, make_servers()) as fleet:
        fleet.cut(SILENT)
        wait_until_isolated(fleet.entry)
        # The other daemon has lost its links too, and this one has not heard of it.
        fleet.other.gateway.world.reachability.is_isolated = True
        introduce(fleet.other, fleet.entry)
        status, _, body = ask(fleet.entry, request())[0]
        assert (status, body) == (503, b"servers_unreachable")
        assert fleet.other.gateway.world.counters["forward.isolated"] == 0


def test_loss_of_all_servers_of_one_service_is_no_isolation():
    servers = make_servers()
    with linked_fleet(ROUTES, servers) as fleet:
        for link in fleet.links[:2]:
            link.cut(RESET)
        gevent.sleep(QUIET_S)
        ask(fleet.entry, request())
        wait_until(lambda: fleet.entry.gateway.world.counters["link.check"] > 0)
        gevent.sleep(CONNECT_TIMEOUT_S)
        assert not is_isolated(fleet.entry)
        assert ask(fleet.entry, requests("other")[1])[0][0] == 200


def test_request_that_a_server_may_have_run_is_neither_denied_nor_run_again():
    began = []

    def never_answer(environ, start_response):
        began.append(environ["PATH_INFO"])
        gevent.sleep(TEST_TIMEOUT_S)
        return []

    servers = make_servers()
    servers["s-2"] = [StandinServer(f"i-2-{copy}", answer=never_answer) for copy in range(2)]
    with linked_fleet(ROUTES, servers) as fleet:
        data = request("/once/own", "POST", body=b"a body")
        waiting = gevent.spawn(ask, fleet.entry, data)
        wait_until(lambda: began)
        fleet.cut(SILENT)
        gevent.spawn(ask, fleet.entry, request(request_id="q-other"))
        wait_until_isolated(fleet.entry)
        assert waiting.get(timeout=TEST_TIMEOUT_S)[0][0] in (502, 504)
    assert began.count("/once/own") == 1


def test_request_that_a_silent_daemon_may_have_run_is_not_denied():
    with linked_fleet(ROUTES, make_servers()) as fleet, scripted(...) as silent:
        fleet.cut(SILENT)
        wait_until_isolated(fleet.entry)
        introduce(fleet.entry, fleet.other, heartbeat=2, address=silent.address)
        data = request("/once/1", "POST", body=b"a body")
        assert ask(fleet.entry, data)[0][0] in (502, 504)


@pytest.mark.parametrize(("headers", "expected"), [((), 503), ((f"{STOPPED_HEADER}: 1",), 502)])
def test_request_that_the_other_daemon_had_begun_is_not_denied(headers, expected):
    refusal = response(status="421 Misdirected Request", headers=headers)
    with linked_fleet(ROUTES, make_servers()) as fleet, scripted(refusal) as refusing:
        fleet.cut(SILENT)
        wait_until_isolated(fleet.entry)
        introduce(fleet.entry, fleet.other, heartbeat=2, address=refusing.address)
        assert ask(fleet.entry, request())[0][0] == expected


def test_daemon_that_falls_silent_is_asked_no_more_while_it_is_overdue(monkeypatch):
    monkeypatch.setattr(delegate_client, "REPLY_GRACE_S", 0.05)
    routes = [route_record(**{"target-latency-ms": 50}), *ROUTES[1:]]
    with linked_fleet(routes, make_servers()) as fleet, scripted(...) as silent:
        fleet.cut(SILENT)
        wait_until_isolated(fleet.entry)
        introduce(fleet.entry, fleet.other, heartbeat=2, address=silent.address)
        waiting = gevent.spawn(ask, fleet.entry, request(request_id="q-waiting"))
        gevent.sleep(0.3)
        assert ask(fleet.entry, request(request_id="q-next"))[0][2] == b"servers_unreachable"
        assert not waiting.ready()
        assert waiting.get(timeout=TEST_TIMEOUT_S)[0][0] == 502


@pytest.mark.parametrize("how", [RESET, REFUSED])
def test_loss_of_the_own_links_is_no_evidence_against_content(how):
    servers = make_servers()
    servers["s-1"] = [StandinServer(f"i-1-{copy}", answer=close_soon) for copy in range(2)]
    with linked_fleet(ROUTES, servers) as fleet:
        suspects = fleet.entry.gateway.world.suspects
        first = [
            gevent.spawn(ask, fleet.entry, request(f"/one/{n}", request_id=f"q-{n}"))
            for n in range(4)
        ]
        gevent.sleep(CLOSE_AFTER_S / 2)
        fleet.cut(how)
        news = []
        while not is_isolated(fleet.entry):
            gevent.spawn(ask_all, fleet.entry, "found")
            gevent.sleep(0.02)
            news.append(suspects.take_news())
        gevent.joinall(first)
        now = fleet.entry.gateway._clock.now()
        assert suspects.evidence(now) == []
        assert not any(news)


CLOSE_AFTER_S = 0.1


def close_soon(environ, start_response):
    """Close the connection without an answer."""
    gevent.sleep(CLOSE_AFTER_S)
    raise ConnectionResetError("the reply is lost")


def is_isolated(daemon):
    return daemon.gateway.world.reachability.is_isolated


def wait_until_isolated(daemon):
    """Send requests until *daemon* knows that it reaches no server."""
    sends = [gevent.spawn(ask_all, daemon, f"found-{n}") for n in range(2)]
    wait_until(lambda: is_isolated(daemon))
    gevent.joinall(sends)
