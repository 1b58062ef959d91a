from __future__ import annotations

import gevent
import pytest

from marigoldwalk.gateway.connection import ConnectionState
from marigoldwalk.routing.exchanges import LossReason

from ..daemon.scripted import TEST_TIMEOUT_S, scripted
from .backend import decode, exchange, open_connection, response


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
