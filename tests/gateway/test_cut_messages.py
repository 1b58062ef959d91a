"""Messages whose sender stops within them: none passes for a complete one."""

from __future__ import annotations

import socket

import gevent
import pytest

from marigoldwalk.routing.delegation import Delegation
from marigoldwalk.routing.membership import MemberReport
from standins.gateway_backends import StandinServer, route_record

from .closing import closing_server
from .daemons import ask, deployment, read_response, request, wait_until

STAMP = "X-Marigoldwalk-Response-Stamp: stamp-1\r\n"
REPLIES = {
    "length": f"HTTP/1.1 200 OK\r\n{STAMP}Content-Length: 8\r\n\r\n",
    "stream": f"HTTP/1.1 200 OK\r\nConnection: close\r\n{STAMP}\r\n",
    "chunks": f"HTTP/1.1 200 OK\r\n{STAMP}Transfer-Encoding: chunked\r\n\r\n",
}
"""Heads of replies, by what marks the end of the body."""


def cuts(head):
    """Return each beginning of *head* that is shorter than it."""
    return [head[:end].encode() for end in range(len(head))]


def post(request_id="q-1"):
    return request("/one/1", "POST", request_id, b"the words", ["X-Other: 1"])


# Guards against a 200 with an empty body for an answer that stopped in the middle of its head.
@pytest.mark.parametrize("framing", REPLIES)
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_reply_that_ends_within_its_head_is_no_success(framing, kind):
    route = route_record(**{"route-kind": kind, "max-attempts": 1})
    with (
        closing_server() as server,
        deployment([route], {"s-1": [StandinServer("i-1")]}) as (daemon, store),
    ):
        entry = StandinServer.registration(server, "s-1", born=2000, sequence=9)
        store.put("servers/i-1", entry)
        rows = daemon.gateway.world.catalog.rows
        wait_until(lambda: rows["i-1"].address == server.address)
        statuses = []
        for number, reply in enumerate(cuts(REPLIES[framing])):
            server.reply = reply
            status, headers, _ = ask(daemon, post(f"q-{number}"))[0]
            assert "x-marigoldwalk-response-stamp" not in headers
            statuses.append(status)
    assert set(statuses) <= {502, 503}
    # Status 503 is a promise that the request has not run.
    assert statuses.count(502) == len(server.requests) > 0


FAN_OUT = {"service": None, "fanout-services": ["s-1"], "top-k": 4, "min-coverage": 0.5}
MERGED = (
    "HTTP/1.1 200 OK\r\nX-Marigoldwalk-Part-Stamps: stamp-1\r\nX-Marigoldwalk-Missing-Parts: 0\r\n"
    "Content-Length: 16\r\n\r\nAAAAAAAAAAAAAAAA"
)


# Guards against an answer of a delegate that is passed on although the delegate stopped within it.
def test_delegate_answer_that_ends_early_is_no_success(monkeypatch):
    servers = {"s-1": [StandinServer("i-1", b"A" * 16)]}
    with (
        closing_server() as delegate,
        deployment([route_record("/all/", **FAN_OUT)], servers) as (daemon, _),
    ):
        chosen = MemberReport("m-delegate", delegate.address, 1, 1, "north", 1.0)
        monkeypatch.setattr(Delegation, "choose", lambda *_: chosen)
        for end in range(len(MERGED)):
            delegate.reply = MERGED[:end].encode()
            response = ask(daemon, request("/all/1", request_id=f"q-{end}"))[0]
            assert response[0] == 502, delegate.reply
    assert servers["s-1"][0].requests == []


# Guards against requests that run without their body or under a part of their id.
@pytest.mark.parametrize("how", ["closed", "half closed"])
def test_request_that_ends_early_reaches_no_server(how):
    servers = {"s-1": [StandinServer("i-1", b"ok")]}
    data = post()
    with deployment(servers=servers) as (daemon, _):
        for end in range(len(data)):
            with daemon.connect() as sock, sock.makefile("rb") as stream:
                sock.sendall(data[:end])
                if how == "half closed":
                    sock.shutdown(socket.SHUT_WR)
                    response = read_response(stream)
                    assert response is None or response[0] == 400, data[:end]
        wait_until(lambda: daemon.gateway._caller_server.open_requests == 0)
        gevent.sleep(0.1)
        assert servers["s-1"][0].requests == []
        assert ask(daemon, data)[0][0] == 200
    assert servers["s-1"][0].requests == [("POST", "/one/1", b"the words")]
