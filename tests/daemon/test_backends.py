from __future__ import annotations

import json

import pytest

from marigoldwalk.core.actions import ProbeServer, SendSubrequest
from marigoldwalk.core.events import (
    ProbeFailed,
    ProbeReply,
    ReplyState,
    ServerClosedConnection,
    ServerLost,
    ServerReply,
    SubrequestEnded,
)
from marigoldwalk.core.peer_messages import Hit, Holding
from marigoldwalk.daemon.backends import Backends
from marigoldwalk.util.clock import Clock

from .scripted import TEST_TIMEOUT_S, http_reply, scripted

DONE = {
    "state": "done",
    "incarnation": "s-1/1",
    "snapshot": 7,
    "shards": [3],
    "hits": [{"key": "a-1", "score": 3, "body": {"título": "muro"}}],
    "retry_after_ms": 0,
}


@pytest.fixture
def backends(inbox):
    backends = Backends("m-1:1.000", Clock(), inbox.post, lambda server: 2)
    yield backends
    backends.stop()


def subrequest(address, attempt=1, remaining_s=TEST_TIMEOUT_S):
    return SendSubrequest(
        attempt=attempt,
        server="s-1",
        address=address,
        group="case-desk",
        index="precedents",
        snapshot=7,
        shards=(3,),
        body='{"text":"muro"}',
        limit=5,
        request_id="",
        deadline=Clock().now() + remaining_s,
    )


def test_a_reply_is_reported_and_its_connection_is_reused(backends, inbox):
    with scripted(http_reply(DONE), http_reply({**DONE, "state": "shed"})) as server:
        backends.send(subrequest(server.address, 1))
        hit = Hit("a-1", 3.0, '{"título":"muro"}')
        assert inbox.next() == ServerReply(1, ReplyState.DONE, "s-1/1", 7, (3,), (hit,), 0.0)
        backends.send(subrequest(server.address, 2))
        assert inbox.next().state is ReplyState.SHED
    assert server.connections == 1
    path, body = server.requests[0]
    sent = json.loads(body)
    assert path == "/search"
    assert 0 < sent.pop("deadline_ms") <= TEST_TIMEOUT_S * 1000
    assert sent == {
        "attempt": "m-1:1.000:1",
        "group": "case-desk",
        "index": "precedents",
        "snapshot": 7,
        "shards": [3],
        "limit": 5,
        "request_id": "",
        "body": {"text": "muro"},
    }


def test_an_idle_connection_that_the_server_closes_is_reported(backends, inbox):
    with scripted(http_reply(DONE)) as server:
        backends.send(subrequest(server.address))
        inbox.next()
    assert inbox.next() == ServerClosedConnection("s-1")


def test_a_refused_connection_counts_as_not_sent(backends, inbox, closed_address):
    backends.send(subrequest(closed_address))
    assert inbox.next() == ServerLost(1, sent=False, timed_out=False)


def test_nothing_is_sent_after_the_deadline(backends, inbox):
    with scripted() as server:
        backends.send(subrequest(server.address, remaining_s=-1.0))
        assert inbox.next() == ServerLost(1, sent=False, timed_out=True)
        assert server.connections == 0


def test_a_connection_closed_without_a_reply_counts_as_sent(backends, inbox):
    with scripted(None) as server:
        backends.send(subrequest(server.address))
        assert inbox.next() == ServerLost(1, sent=True, timed_out=False)
    assert len(server.requests) == 1


def test_a_request_on_a_reused_connection_that_breaks_is_not_retried(backends, inbox):
    with scripted(http_reply(DONE), None) as server:
        backends.send(subrequest(server.address, 1))
        inbox.next()
        backends.send(subrequest(server.address, 2))
        assert inbox.next() == ServerLost(2, sent=True, timed_out=False)
    assert len(server.requests) == 2


def test_a_truncated_reply_counts_as_sent(backends, inbox):
    with scripted(http_reply(DONE)[:-5]) as server:
        backends.send(subrequest(server.address, remaining_s=0.2))
        assert inbox.next() == ServerLost(1, sent=True, timed_out=True)
        assert server.connection_closed.wait(TEST_TIMEOUT_S)


def test_a_subrequest_without_a_reply_is_aborted_at_its_deadline(backends, inbox):
    with scripted(...) as server:
        backends.send(subrequest(server.address, remaining_s=0.2))
        assert inbox.next() == ServerLost(1, sent=True, timed_out=True)
        assert server.connection_closed.wait(TEST_TIMEOUT_S)


def test_cancelling_closes_the_connection_and_is_reported_once_confirmed(backends, inbox):
    with scripted(..., http_reply({"cancelled": True}), http_reply(DONE)) as server:
        backends.send(subrequest(server.address, 1))
        assert server.request_received.wait(TEST_TIMEOUT_S)
        backends.cancel(1)
        assert server.connection_closed.wait(TEST_TIMEOUT_S)
        assert inbox.next() == SubrequestEnded(1)
        backends.send(subrequest(server.address, 2))
        assert inbox.next().attempt == 2
    assert inbox.empty()


@pytest.mark.parametrize(
    "reply",
    [
        http_reply(DONE, "500 Internal Server Error"),
        http_reply(b"no json"),
        http_reply({**DONE, "state": "fine"}),
        http_reply({**DONE, "hits": [{"key": "a", "score": None}]}),
    ],
)
def test_an_invalid_reply_is_reported_as_failed(backends, inbox, reply):
    with scripted(reply) as server:
        backends.send(subrequest(server.address))
        assert inbox.next().state is ReplyState.FAILED


def test_a_probe_reports_health_or_a_failure(backends, inbox):
    health = {
        "incarnation": "s-1/1",
        "draining": True,
        "cold": False,
        "load": 0.5,
        "holdings": [{"snapshot": 7, "shard_count": 50, "shards": [3]}],
    }
    with scripted(http_reply(health), http_reply(b"?")) as server:
        backends.probe(ProbeServer("s-1", server.address))
        holdings = (Holding(7, 50, (3,)),)
        assert inbox.next() == ProbeReply("s-1", "s-1/1", True, False, holdings)
        backends.probe(ProbeServer("s-1", server.address))
        assert inbox.next() == ProbeFailed("s-1", refused=False)


def test_a_probe_whose_connection_is_refused_is_reported_as_refused(
    backends, inbox, closed_address
):
    backends.probe(ProbeServer("s-1", closed_address))
    assert inbox.next() == ProbeFailed("s-1", refused=True)


def test_probe_on_a_connection_that_the_server_has_just_closed_is_repeated_on_a_new_one(
    backends, inbox
):
    health = {"incarnation": "s-1/1", "draining": False, "cold": False, "holdings": []}
    restarted = health | {"incarnation": "s-1/2"}
    with scripted(http_reply(health), None, http_reply(restarted)) as server:
        for incarnation in ("s-1/1", "s-1/2"):
            backends.probe(ProbeServer("s-1", server.address))
            assert inbox.next() == ProbeReply("s-1", incarnation, False, False, ())
        assert server.connections == 2


@pytest.mark.parametrize(
    "holding",
    [
        {"snapshot": 2**70, "shard_count": 50, "shards": [3]},
        {"snapshot": 7, "shard_count": 10**12, "shards": [3]},
        {"snapshot": 7, "shard_count": 50, "shards": [2**40]},
        {"snapshot": 7, "shard_count": -1, "shards": [3]},
    ],
)
def test_a_health_reply_with_a_number_out_of_range_fails_the_probe(backends, inbox, holding):
    """Queries are planned for each shard, so such a number would use up the daemon's memory."""
    health = {"incarnation": "s-1/1", "holdings": [holding]}
    with scripted(http_reply(health)) as server:
        backends.probe(ProbeServer("s-1", server.address))
        assert inbox.next() == ProbeFailed("s-1", refused=False)
