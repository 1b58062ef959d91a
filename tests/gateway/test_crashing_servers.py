"""Requests whose servers close the connection without a reply, with real connections."""

from __future__ import annotations

from gevent.pool import Pool
from gevent.server import StreamServer

from marigoldwalk.config.view import Address
from marigoldwalk.gateway.frontend import _fingerprint
from marigoldwalk.routing.delegation import Delegation
from marigoldwalk.routing.membership import MemberReport
from marigoldwalk.routing.suspects import Crash, Evidence
from standins.gateway_backends import StandinServer, route_record

from ..daemon.scripted import read_request
from .daemons import Daemon, ask, deployment, request


class ClosingServer:
    """A server that closes the connection of each request, and stops listening if it *crashes*."""

    def __init__(self, server_id, crashes):
        self.server_id = server_id
        self.requests = []
        self.connections = 0
        self._crashes = crashes
        self._server = StreamServer(("127.0.0.1", 0), self._serve, spawn=Pool())
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def registration(self, service, **changes):
        return StandinServer.registration(self, service, **changes)

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _peer):
        self.connections += 1
        with sock, sock.makefile("rb") as stream:
            if (received := read_request(stream)) is not None:
                self.requests.append(received)
                if self._crashes:
                    self._server.close()


def crashed_attempts(daemon):
    return daemon.gateway.world.counters["lost.crashed"]


def test_request_that_crashed_three_servers_is_refused():
    servers = [ClosingServer(f"i-{n}", crashes=True) for n in range(6)]
    with deployment(servers={"s-1": servers}) as (daemon, _):
        statuses = [ask(daemon, request(request_id=f"q-{n}"))[0][0] for n in range(4)]
        other = ask(daemon, request("/one/other", request_id="q-other"))[0][0]
        assert crashed_attempts(daemon) == 4 + 1
    assert statuses == [502, 502, 503, 503]
    assert other == 502
    assert [len(server.requests) for server in servers].count(0) == 1


def test_lost_reply_of_a_running_server_is_no_crash():
    closing = ClosingServer("i-0", crashes=False)
    answering = StandinServer("i-1", b"the whole body")
    with deployment(servers={"s-1": [closing, answering]}) as (daemon, _):
        statuses = {ask(daemon, request(request_id=f"q-{n}"))[0][0] for n in range(6)}
        assert crashed_attempts(daemon) == 0
        assert daemon.gateway.world.counters["suspect.crash"] == 0
    assert statuses == {200}
    assert closing.requests


def test_connection_of_a_probe_is_used_for_the_next_request():
    closing = ClosingServer("i-0", crashes=False)
    with deployment(servers={"s-1": [closing]}) as (daemon, _):
        for number in range(3):
            ask(daemon, request(request_id=f"q-{number}"))
        sends = daemon.gateway.world.counters["send.own_domain"]
    assert len(closing.requests) == sends
    assert closing.connections == sends + 1


def test_query_that_a_delegate_refuses_for_crashes_is_not_sent_by_the_forwarding_daemon(
    monkeypatch,
):
    servers = {"s-1": [StandinServer("i-1", b"A" * 16)]}
    shards = {"service": None, "fanout-services": ["s-1"], "top-k": 4, "min-coverage": 0.5}
    crashes = tuple(Crash(f"i-{n}", "s-1", f"q-old-{n}", is_trial=True) for n in range(3))
    with deployment([route_record("/all/", **shards)], servers) as (daemon, store):
        delegate = Daemon(store)
        delegate.wait_until_ready()
        evidence = Evidence(_fingerprint("GET", "/all/1", b""), crashes)
        delegate.gateway.world.suspects.merge([evidence], delegate.gateway._clock.now())
        address = delegate.gateway.peer_address
        chosen = MemberReport("m-delegate", address, 1, 1, "north", 1.0)
        monkeypatch.setattr(Delegation, "choose", lambda *_: chosen)
        status, headers, _ = ask(daemon, request("/all/1"))[0]
        assert delegate.gateway.world.counters["refusal.suspect_content"] == 1
        delegate.kill()
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert servers["s-1"][0].requests == []
