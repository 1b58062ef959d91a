from __future__ import annotations

import gevent
import pytest

from marigoldwalk.gateway.connection import ConnectionState
from marigoldwalk.routing.exchanges import LossReason

from ..daemon.scripted import PATIENCE_S, scripted
from .backend import decode, exchange, open_channel, response


def outcome_of(*script):
    """Return the outcome of one request to a server with *script*, and the channel."""
    with scripted(*script) as server:
        channel = open_channel(server.address)
        return exchange(channel), channel


def test_a_whole_reply_leaves_the_connection_open_for_the_next():
    with scripted(response(b"one"), response(b"two")) as server:
        channel = open_channel(server.address)
        assert exchange(channel).body == b"one"
        assert channel.state is ConnectionState.IDLE
        assert exchange(channel).body == b"two"
        assert server.connections == 1


def test_a_chunked_reply_is_read_whole():
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    outcome, channel = outcome_of(chunked)
    assert outcome.body == b"abcde"
    assert channel.state is ConnectionState.IDLE


def test_a_reply_without_a_length_ends_with_its_connection():
    body = response(b"all of it", length=False)
    with scripted(body, None) as server:
        channel = open_channel(server.address)
        # The server closes once it has read a second request.
        outcome = exchange(channel, b"GET /x HTTP/1.1\r\n\r\nGET /y HTTP/1.1\r\n\r\n")
    assert outcome.body == b"all of it"
    assert channel.state is ConnectionState.CLOSED


def test_a_reply_that_is_cut_short_is_none():
    with scripted(response(b"half", length=9), None) as server:
        channel = open_channel(server.address)
        outcome = exchange(channel, b"GET /x HTTP/1.1\r\n\r\nGET /y HTTP/1.1\r\n\r\n")
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
def test_bytes_that_are_no_reply_end_the_connection(garbage):
    outcome, channel = outcome_of(garbage)
    assert outcome.reason is LossReason.MALFORMED
    assert outcome.may_have_run
    assert channel.state is ConnectionState.CLOSED


def test_a_second_reply_in_the_same_bytes_ends_the_connection():
    outcome, channel = outcome_of(response(b"mine") + response(b"more"))
    assert outcome.body == b"mine"
    assert channel.state is ConnectionState.CLOSED


def test_a_second_reply_that_arrives_while_idle_ends_the_connection():
    with scripted(response(b"mine"), response(b"late")) as server:
        channel = open_channel(server.address)
        outcome = exchange(channel, b"GET /x HTTP/1.1\r\n\r\nGET /y HTTP/1.1\r\n\r\n")
        assert outcome.body == b"mine"
        with gevent.Timeout(PATIENCE_S):
            while channel.state is not ConnectionState.CLOSED:
                gevent.sleep(0.001)


def test_a_late_reply_to_another_request_is_passed_over():
    both = response(b"old", request_id="q-other") + response(b"mine")
    outcome, channel = outcome_of(both)
    assert outcome.body == b"mine"


def test_an_interim_reply_is_passed_over():
    outcome, _ = outcome_of(b"HTTP/1.1 100 Continue\r\n\r\n" + response(b"mine"))
    assert outcome.body == b"mine"


def test_an_announced_close_is_followed():
    _, channel = outcome_of(response(headers=["Connection: close"]))
    assert channel.state is ConnectionState.CLOSED


def test_the_servers_idle_timeout_is_followed():
    _, channel = outcome_of(response(headers=["Keep-Alive: timeout=2, max=9"]))
    assert channel.idle_timeout_s == pytest.approx(1.2)


def test_a_refused_connection_proves_that_nothing_ran(closed_address):
    outcome = exchange(open_channel(closed_address))
    assert outcome.reason is LossReason.CONNECT_FAILED
    assert not outcome.may_have_run


def test_a_channel_that_is_closed_gives_its_request_up():
    with scripted(...) as server:
        channel = open_channel(server.address)
        outcomes = []
        channel.request(b"GET /x HTTP/1.1\r\n\r\n", outcomes.append, decode)
        server.asked.wait(PATIENCE_S)
        channel.close()
    assert [outcome.reason for outcome in outcomes] == [LossReason.ABANDONED]
