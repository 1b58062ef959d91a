from __future__ import annotations

import threading

import pytest

from marigoldwalk.client import Client, QueryOptions
from marigoldwalk.client.pending import PendingQuery
from marigoldwalk.config.addresses import parse_address
from marigoldwalk.errors import Code, Execution

from .daemons import closing_daemon, refusal, refusing_address, reply_fields, scripted_daemon


def run_query(options, *addresses):
    """Send a query that tries *addresses* in this order."""
    return PendingQuery(options, [parse_address(address) for address in addresses], 10.0).result()


def test_a_reply_is_parsed_into_an_answer():
    hit = {"key": "a-1", "score": 3.0, "body": {"text": "muro"}}
    with scripted_daemon(reply_fields(hits=[hit])) as daemon:
        answer = Client([daemon.address]).query(QueryOptions("case-desk", {"text": "muro"}))
    assert answer.answered
    assert answer.code is Code.OK
    assert answer.execution is Execution.RAN
    assert answer.coverage.ratio == 1.0
    assert [hit.key for hit in answer.hits] == ["a-1"]
    assert daemon.requests[0]["body"] == {"text": "muro"}
    assert daemon.requests[0]["request_id"] == ""


def test_the_next_daemon_is_tried_if_one_is_unreachable():
    with refusing_address() as closed, scripted_daemon(reply_fields()) as daemon:
        answer = run_query(QueryOptions("owner-portal", repeatable=False), closed, daemon.address)
        assert answer.code is Code.OK
        assert len(daemon.requests) == 1


def test_a_query_did_not_run_if_no_daemon_is_reachable():
    with refusing_address() as closed:
        answer = run_query(QueryOptions("owner-portal", repeatable=False), closed, closed)
    assert answer.code is Code.DAEMON_UNREACHABLE
    assert answer.execution is Execution.NOT_RUN


def test_a_request_that_may_run_once_is_not_sent_again_after_a_lost_reply():
    options = QueryOptions("owner-portal", repeatable=False, patience_s=1.0)
    with closing_daemon() as closing, scripted_daemon(reply_fields()) as daemon:
        answer = run_query(options, closing, daemon.address)
        assert daemon.requests == []
    assert answer.code is Code.OUTCOME_UNKNOWN
    assert answer.execution is Execution.UNKNOWN
    assert answer.request_id


def test_a_repeatable_request_is_sent_again_after_a_lost_reply():
    with closing_daemon() as closing, scripted_daemon(reply_fields()) as daemon:
        assert run_query(QueryOptions("stock"), closing, daemon.address).code is Code.OK


def test_a_refused_resend_keeps_the_request_id_and_the_unknown_outcome():
    options = QueryOptions("owner-portal", repeatable=False, resend_unknown=True)
    refused = refusal(Code.NOT_READY, reason="starting")
    with closing_daemon() as closing, scripted_daemon(refused) as daemon:
        answer = run_query(options, closing, daemon.address)
    assert daemon.requests[0]["request_id"] == answer.request_id
    assert answer.code is Code.OUTCOME_UNKNOWN
    assert answer.execution is Execution.UNKNOWN
    assert "starting" in answer.reason


def test_a_refused_query_is_retried_within_the_retry_timeout():
    refused = refusal(Code.OVERLOADED, retry_after_ms=1)
    with scripted_daemon(refused, refused, reply_fields()) as daemon:
        options = QueryOptions("owner-portal", repeatable=False, patience_s=60.0)
        assert run_query(options, daemon.address).code is Code.OK
    assert len(daemon.requests) == 3
    assert len({sent["request_id"] for sent in daemon.requests}) == 1


@pytest.mark.parametrize(
    ("reply", "patience_s"),
    [
        (refusal(Code.OVERLOADED, retry_after_ms=5000), 1.0),
        (refusal(Code.OVERLOADED, retry_after_ms=1), 0.0),
        (refusal(Code.UNKNOWN_GROUP), 60.0),
        (refusal(Code.REQUEST_TOO_OLD), 60.0),
        (reply_fields(code=Code.ALREADY_RUN, name="ALREADY_RUN"), 60.0),
        (reply_fields(code=Code.NO_QUORUM, execution="outcome unknown"), 60.0),
        (reply_fields(code=Code.OUTCOME_UNKNOWN, execution="outcome unknown"), 60.0),
    ],
)
def test_other_outcomes_are_not_retried(reply, patience_s):
    with scripted_daemon(reply) as daemon:
        options = QueryOptions("owner-portal", repeatable=False, patience_s=patience_s)
        answer = run_query(options, daemon.address)
    assert answer.code == reply["code"]
    assert len(daemon.requests) == 1


def test_an_unreadable_reply_leaves_the_outcome_unknown():
    with scripted_daemon(b"<html>bad gateway</html>") as daemon:
        answer = run_query(QueryOptions("owner-portal", repeatable=False), daemon.address)
    assert answer.code is Code.OUTCOME_UNKNOWN


def test_cancelling_ends_the_wait_for_a_reply():
    with scripted_daemon(reply_fields(), hold_replies=True) as daemon:
        pending = Client([daemon.address]).prepare(QueryOptions("stock", patience_s=60.0))
        answers = []
        thread = threading.Thread(target=lambda: answers.append(pending.result()))
        thread.start()
        daemon.request_arrived.wait()
        pending.cancel()
        thread.join()
    assert [answer.code for answer in answers] == [Code.CANCELLED]
    assert answers[0].execution is Execution.UNKNOWN


def test_a_query_cancelled_before_it_is_sent_did_not_run():
    with scripted_daemon(reply_fields()) as daemon:
        pending = Client([daemon.address]).prepare(QueryOptions("stock"))
        pending.cancel()
        answer = pending.result()
        assert daemon.requests == []
    assert answer.code is Code.CANCELLED
    assert answer.execution is Execution.NOT_RUN
