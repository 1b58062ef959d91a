from __future__ import annotations

import dataclasses

import pytest

from soak.guarantees import check_all
from soak.guarantees.arrivals import BUDGET_SLACK
from soak.journal import EVERYTHING, Arrival, Call, Disturbance, Journal, Reply, Version
from soak.servers import reply_body

SHARDS = ("a-0", "a-1")
SENT_AT = 100.0
"""When the requests of these tests are sent, long after the first version is published."""


def version(number=1, at=0.0, shards=SHARDS, reads="reads", probes=("/v1/",)):
    services = {"/all/": shards, "/read/": (reads,), "/once/": ("orders",)}
    services |= dict.fromkeys(probes, ("reads",))
    return Version(number, at, shards, services, frozenset(probes))


def call(path="/read/1", status=200, sent_at=SENT_AT, request_id="q-1", **changes):
    fields = {
        "request_id": request_id,
        "daemon": "g-0",
        "method": "GET",
        "path": path,
        "body": b"",
        "sent_at": sent_at,
        "deadline_s": 1.5,
        "ended_at": sent_at + 0.05,
        "status": status,
        "is_probe": path.startswith("/v"),
    }
    return Call(**(fields | changes))


def arrival(service="reads", path="/read/1", at=SENT_AT + 0.01, server_id="i-1", **changes):
    fields = {
        "at": at,
        "server_id": server_id,
        "service": service,
        "domain": "north",
        "request_id": "q-1",
        "method": "GET",
        "path": path,
        "body": b"",
        "deadline_s": 1.4,
        "was_cold": False,
        "ran": True,
    }
    return Arrival(**(fields | changes))


def reply(service="reads", signature="sig", status=200, request_id="q-1"):
    return Reply(request_id, service, signature, status, reply_body(service, request_id))


def single(**changes):
    """A journal with one correct response of a single server."""
    sent = call(response_body=reply_body("reads", "q-1"))
    sent.headers = {"x-marigoldwalk-response-stamp": "sig"}
    sent = dataclasses.replace(sent, **changes)
    return Journal([sent], [arrival()], {"sig": reply()}, [version()])


def fan_out(services=SHARDS, missing=0, **changes):
    """A journal with one correct response merged from *services*."""
    replies = {f"sig-{s}": reply(s, f"sig-{s}") for s in services}
    body = b"".join(reply_body(s, "q-1") for s in services)
    records = sorted((body[i : i + 16] for i in range(0, len(body), 16)), reverse=True)
    sent = call(path="/all/1", response_body=b"".join(records[:5]))
    sent.headers = {
        "x-marigoldwalk-part-stamps": ", ".join(replies),
        "x-marigoldwalk-missing-parts": str(missing),
    }
    sent = dataclasses.replace(sent, **changes)
    arrivals = [arrival(s, "/all/1", server_id=f"i-{s}") for s in services]
    return Journal([sent], arrivals, replies, [version()])


def violated(journal):
    return {violation.guarantee for violation in check_all(journal)}


@pytest.mark.parametrize("journal", [single(), fan_out(), fan_out(SHARDS[:1], missing=1)])
def test_correct_journal_has_no_violations(journal):
    assert violated(journal) == set()


@pytest.mark.parametrize(
    "journal",
    [
        single(response_body=b"other"),
        single(headers={}),
        single(headers={"x-marigoldwalk-response-stamp": "other"}),
        fan_out(response_body=b"0" * 80),
        fan_out(SHARDS[:1], missing=0),
        fan_out(SHARDS[:1], missing=2),
        fan_out((SHARDS[0], "b-1")),
    ],
)
def test_response_that_differs_from_the_server_replies_is_a_violation(journal):
    assert violated(journal) - {"correct service"} == {"correct answers"}


def test_merged_failed_reply_is_a_violation():
    journal = fan_out()
    journal.replies["sig-a-0"] = reply("a-0", "sig-a-0", status=500)
    assert violated(journal) == {"correct answers"}


def test_changed_or_unsolicited_request_is_a_violation():
    journal = single()
    journal.arrivals += [arrival(request_id="q-2"), arrival(path="/read/2")]
    assert [v.guarantee for v in check_all(journal)] == [
        "no unsolicited requests",
        "no unsolicited requests",
    ]


@pytest.mark.parametrize("seen", [{"key": "key-of-archive"}, {"workspace": "branch"}])
def test_key_or_other_workspace_at_a_server_is_a_violation(seen):
    journal = Journal(
        [call(workspace="archive")],
        [arrival(**({"workspace": "archive"} | seen))],
        versions=[version()],
    )
    assert "workspaces" in violated(journal)


def test_second_execution_or_execution_after_a_rejection_is_a_violation():
    journal = Journal(
        [call("/once/1", 503)],
        [arrival("orders", "/once/1"), arrival("orders", "/once/1", server_id="i-2")],
        versions=[version()],
    )
    assert violated(journal) == {"at most once", "rejected requests never run"}


def test_rejected_request_that_was_not_executed_is_no_violation():
    journal = Journal(
        [call("/once/1", 503)], [arrival("orders", "/once/1", ran=False)], versions=[version()]
    )
    assert violated(journal) == set()


def test_request_at_a_service_of_no_version_is_a_violation():
    journal = single()
    journal.arrivals.append(arrival("orders"))
    assert violated(journal) == {"correct service"}


def test_more_servers_than_the_route_allows_is_a_violation():
    journal = single()
    journal.arrivals = [arrival(server_id=f"i-{n}") for n in range(4)]
    assert violated(journal) == {"attempt limit"}


def test_more_repeats_than_the_retry_budget_is_a_violation():
    journal = single()
    journal.arrivals = [arrival(ran=False) for _ in range(BUDGET_SLACK + 3)]
    assert violated(journal) == {"retry budget"}


def test_deadline_beyond_the_callers_is_a_violation_unless_the_link_was_disturbed():
    journal = single()
    journal.arrivals = [arrival(at=SENT_AT + 1.0, deadline_s=1.4)]
    assert violated(journal) == {"deadline propagation"}
    journal.disturbances = [Disturbance("reads/north", "link blocked", SENT_AT, SENT_AT + 0.9)]
    assert violated(journal) == set()


def test_too_many_requests_to_a_cold_server_is_a_violation():
    journal = Journal(versions=[version()])
    for number in range(36):
        journal.calls.append(call(request_id=f"q-{number}", status=503))
        journal.arrivals.append(arrival(request_id=f"q-{number}", was_cold=True))
    assert violated(journal) == {"cold server rate"}


@pytest.mark.parametrize(
    ("left_at", "expected"), [(SENT_AT - 4, {"leaving servers"}), (SENT_AT - 2, set())]
)
def test_request_to_a_leaving_server_after_the_bound_is_a_violation(left_at, expected):
    journal = single()
    journal.leaving_since["i-1"] = left_at
    assert violated(journal) == expected
    journal.disturbances = [Disturbance(EVERYTHING, "store busy", SENT_AT - 5, SENT_AT - 4.5)]
    assert violated(journal) == set()


@pytest.mark.parametrize(
    ("start", "end", "expected"),
    [
        (SENT_AT - 6, SENT_AT + 9, {"excluded domains"}),
        (SENT_AT - 6, SENT_AT, set()),
        (SENT_AT - 4, SENT_AT + 9, set()),
    ],
)
def test_request_to_an_excluded_domain_after_the_bound_is_a_violation(start, end, expected):
    journal = single()
    journal.exclusions = [("north", start, end)]
    assert violated(journal) == expected


def test_version_in_force_after_the_bound_is_a_violation():
    journal = Journal(
        [call("/v2/1", 404)],
        versions=[version(), version(2, SENT_AT - 3.5, probes=("/v1/", "/v2/"))],
    )
    assert violated(journal) == {"timely configuration"}
    journal.calls[0].sent_at = SENT_AT - 0.6
    assert violated(journal) == set()


def test_return_to_an_older_version_is_a_violation_unless_the_daemon_restarted():
    versions = [version(), version(2, SENT_AT - 2.5, probes=("/v1/", "/v2/"))]
    ok = call("/v2/1", 200, response_body=reply_body("reads", "q-1"))
    ok.headers = {"x-marigoldwalk-response-stamp": "sig"}
    back = call("/v2/1", 404, SENT_AT + 0.4, "q-2")
    journal = Journal([ok, back], [arrival(path="/v2/1")], {"sig": reply()}, versions)
    assert violated(journal) == {"monotonic configuration"}
    journal.disturbances = [Disturbance("g-0", "kill", SENT_AT + 0.1, SENT_AT + 0.3)]
    assert violated(journal) == set()


def test_request_interrupted_by_a_planned_stop_is_a_violation():
    journal = single(status=None, response_body=b"", ended_at=SENT_AT + 0.1)
    journal.planned_stops = [("g-0", SENT_AT - 1, SENT_AT + 5)]
    assert violated(journal) == {"planned stops"}
    journal.disturbances = [Disturbance("g-0", "pause", SENT_AT, SENT_AT + 1)]
    assert violated(journal) == set()


def test_unexpected_exit_is_a_violation():
    assert violated(Journal(unexpected_exits=[("g-0", SENT_AT, 1)])) == {"no unexpected exits"}


def test_failing_requests_after_the_recovery_time_are_a_violation():
    journal = Journal(
        [call(status=503, sent_at=SENT_AT)], versions=[version()], faults_ended_at=SENT_AT - 13
    )
    assert violated(journal) == {"recovery"}
