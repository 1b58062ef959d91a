from __future__ import annotations

import socket

import gevent
import pytest
from gevent.pool import Pool
from gevent.server import StreamServer

from marigoldwalk.config.view import Address
from marigoldwalk.gateway.connection import (
    KEEPALIVE_COUNT,
    MAX_REPLY_BYTES,
    READ_BYTES,
    ConnectionState,
    ReplyMemory,
    ServerConnection,
)
from marigoldwalk.routing.exchanges import LossReason, LostAttempt

from ..daemon.scripted import TEST_TIMEOUT_S, scripted
from .backend import decode, exchange, open_connection, response
from .closing import closing_server


def outcome_of(*script):
    """Return the outcome of one request to a server with *script*, and the connection."""
    with scripted(*script) as server:
        connection = open_connection(server.address)
        return exchange(connection), connection


def test_connection_is_reused_after_a_complete_reply():
    with scripted(response(b"one"), response(b"two")) as server:
        connection = open_connection(server.address)
        assert exchange(connection).body == b"one"
        assert connection.state is ConnectionState.IDLE
        assert exchange(connection).body == b"two"
        assert server.connections == 1


def test_chunked_reply_is_decoded():
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    outcome, connection = outcome_of(chunked)
    assert outcome.body == b"abcde"
    assert connection.state is ConnectionState.IDLE


def test_reply_without_length_ends_when_the_connection_closes():
    body = response(b"all of it", length=False)
    with scripted(body, None) as server:
        connection = open_connection(server.address)
        # The server closes once it has read a second request.
        outcome = exchange(connection, b"GET /x HTTP/1.1\r\n\r\nGET /y HTTP/1.1\r\n\r\n")
    assert outcome.body == b"all of it"
    assert connection.state is ConnectionState.CLOSED


FRAMINGS = [
    response(b"the body"),
    response(b"the body", length=False),
    response(b"8\r\nthe body\r\n0\r\n\r\n", headers=["Transfer-Encoding: chunked"], length=False),
]


# Guards against answers whose server has stopped in the middle of the head.
@pytest.mark.parametrize("reply", FRAMINGS, ids=["length", "stream", "chunks"])
def test_reply_that_ends_within_its_head_counts_as_lost(reply):
    with closing_server() as server:
        for end in range(reply.index(b"\r\n\r\n") + 4):
            server.reply = reply[:end]
            outcome = exchange(open_connection(server.address))
            assert isinstance(outcome, LostAttempt), reply[:end]
            assert outcome.may_have_run


# Guards against answers that switch protocols, after which the attempt stayed open.
def test_reply_that_switches_protocols_counts_as_malformed():
    switching = b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
    outcome, _ = outcome_of(switching + response(b"ok"))
    assert outcome.reason is LossReason.MALFORMED


def test_truncated_reply_counts_as_lost():
    with scripted(response(b"half", length=9), None) as server:
        connection = open_connection(server.address)
        outcome = exchange(connection, b"GET /x HTTP/1.1\r\n\r\nGET /y HTTP/1.1\r\n\r\n")
    assert outcome.reason is LossReason.CLOSED
    assert outcome.may_have_run


@pytest.mark.parametrize(
    "garbage",
    [
        b"\x00\x01 not http at all\r\n\r\n",
        b"HTTP/1.1 2xx OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\n0123456789",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
    ],
    ids=["bytes", "status", "length", "lengths", "chunk"],
)
def test_malformed_reply_closes_the_connection(garbage):
    outcome, connection = outcome_of(garbage)
    assert outcome.reason is LossReason.MALFORMED
    assert outcome.may_have_run
    assert connection.state is ConnectionState.CLOSED


def test_second_reply_in_the_same_data_closes_the_connection():
    outcome, connection = outcome_of(response(b"mine") + response(b"more"))
    assert outcome.body == b"mine"
    assert connection.state is ConnectionState.CLOSED


def test_reply_on_an_idle_connection_closes_it():
    with scripted(response(b"mine"), response(b"late")) as server:
        connection = open_connection(server.address)
        outcome = exchange(connection, b"GET /x HTTP/1.1\r\n\r\nGET /y HTTP/1.1\r\n\r\n")
        assert outcome.body == b"mine"
        with gevent.Timeout(TEST_TIMEOUT_S):
            while connection.state is not ConnectionState.CLOSED:
                gevent.sleep(0.001)


def test_late_reply_to_another_request_is_skipped():
    both = response(b"old", request_id="q-other") + response(b"mine")
    outcome, connection = outcome_of(both)
    assert outcome.body == b"mine"


def test_interim_reply_is_skipped():
    outcome, _ = outcome_of(b"HTTP/1.1 100 Continue\r\n\r\n" + response(b"mine"))
    assert outcome.body == b"mine"


def test_connection_close_header_closes_the_connection():
    _, connection = outcome_of(response(headers=["Connection: close"]))
    assert connection.state is ConnectionState.CLOSED


def test_idle_timeout_follows_the_keep_alive_header():
    _, connection = outcome_of(response(headers=["Keep-Alive: timeout=2, max=9"]))
    assert connection.idle_timeout_s == pytest.approx(1.2)


def test_refused_connection_means_that_the_request_did_not_run(closed_address):
    outcome = exchange(open_connection(closed_address))
    assert outcome.reason is LossReason.CONNECT_FAILED
    assert not outcome.may_have_run


def test_closing_a_connection_abandons_its_request():
    with scripted(...) as server:
        connection = open_connection(server.address)
        outcomes = []
        connection.request(b"GET /x HTTP/1.1\r\n\r\n", outcomes.append, decode)
        server.request_received.wait(TEST_TIMEOUT_S)
        connection.close()
    assert [outcome.reason for outcome in outcomes] == [LossReason.ABANDONED]


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER_REPLY = response(b"z" * 100, request_id="q-other")
ENDLESS_REPLIES = {
    "status line": (b"HTTP/1.1 200 ", b"x" * 4096),
    "header": (HEAD + b"X-Long: ", b"x" * 4096),
    "headers": (HEAD, b"X-Many: 1\r\n" * 400),
    "body": (HEAD + b"Content-Length: 9000000000\r\n\r\n", b"x" * 4096),
    "body without length": (HEAD + b"\r\n", b"x" * 4096),
    "chunks": (CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "chunk extension": (CHUNKED + b"1;x=", b"x" * 4096),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Many: 1\r\n" * 400),
    "interim replies": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "replies to other requests": (b"", OTHER_REPLY * 30),
}
SENT_AHEAD_BYTES = 16 * 1024 * 1024
"""Upper bound on the bytes in the buffers of both sockets."""


class EndlessServer:
    """A server that sends *start* and then *piece* until the connection is closed."""

    def __init__(self, start, piece):
        self.sent_bytes = 0
        self._start = start
        self._piece = piece
        self._server = StreamServer(("127.0.0.1", 0), self._serve, spawn=Pool())
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._server.stop(timeout=0)

    def _serve(self, sock, _peer):
        data = self._start + self._piece
        try:
            with sock:
                sock.recv(4096)
                while True:
                    sock.sendall(data)
                    self.sent_bytes += len(data)
                    data = self._piece
        except OSError:
            return


@pytest.mark.parametrize("name", ENDLESS_REPLIES)
def test_endless_reply_closes_the_connection(name):
    with EndlessServer(*ENDLESS_REPLIES[name]) as server:
        connection = open_connection(server.address)
        outcome = exchange(connection)
        assert outcome.reason is LossReason.MALFORMED
        assert outcome.may_have_run
        assert connection.state is ConnectionState.CLOSED
        assert server.sent_bytes <= MAX_REPLY_BYTES + SENT_AHEAD_BYTES


def test_large_replies_share_a_bounded_memory():
    memory = ReplyMemory(limit_bytes=4 * 1024 * 1024)
    outcomes = []
    with EndlessServer(*ENDLESS_REPLIES["body"]) as server:
        for _ in range(12):
            connection = ServerConnection(server.address, lambda _: None, memory)
            connection.request(b"GET /x HTTP/1.1\r\n\r\n", outcomes.append, decode)
        with gevent.Timeout(TEST_TIMEOUT_S):
            while len(outcomes) < 12:
                assert memory.used_bytes <= memory.limit_bytes + 12 * READ_BYTES
                gevent.sleep(0.001)
    assert {outcome.reason for outcome in outcomes} == {LossReason.MALFORMED}
    assert memory.used_bytes == 0


def test_small_reply_is_read_although_the_memory_is_used_up():
    memory = ReplyMemory(limit_bytes=0)
    with scripted(response(b"mine")) as server:
        connection = ServerConnection(server.address, lambda _: None, memory)
        assert exchange(connection).body == b"mine"
    assert memory.used_bytes == 0


def test_no_user_timeout_replaces_the_count_of_keep_alive_probes():
    sock = open_connection(Address("127.0.0.1", 1))._sock
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 0
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT) == KEEPALIVE_COUNT
