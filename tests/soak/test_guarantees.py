from __future__ import annotations

import dataclasses

import pytest

from soak.guarantees import check_all
from soak.guarantees.arrivals import BUDGET_SLACK
from soak.journal import EVERYTHING, Arrival, Call, Disturbance, Journal, Reply, Version
from soak.servers import reply_body

SHARDS = ("a-0", "a-1")
SENT_AT = 100.0
"""When the requests of these tests are sent, long after the first version."""


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
    """A journal of one good answer of one server."""
    sent = call(response_body=reply_body("reads", "q-1"))
    sent.headers = {"x-marigoldwalk-response-stamp": "sig"}
    sent = dataclasses.replace(sent, **changes)
    return Journal([sent], [arrival()], {"sig": reply()}, [version()])


def fan_out(services=SHARDS, missing=0, **changes):
    """A journal of one answer merged of *services*."""
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
def test_a_good_journal_breaks_no_promise(journal):
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
def test_an_answer_that_is_not_what_the_servers_said(journal):
    assert violated(journal) - {"right service"} == {"whole answers"}


def test_a_failure_of_a_server_is_no_part():
    journal = fan_out()
    journal.replies["sig-a-0"] = reply("a-0", "sig-a-0", status=500)
    assert violated(journal) == {"whole answers"}


def test_a_request_that_was_changed_or_never_sent():
    journal = single()
    journal.arrivals += [arrival(request_id="q-2"), arrival(path="/read/2")]
    assert [v.guarantee for v in check_all(journal)] == ["nothing unasked", "nothing unasked"]


def test_a_request_that_runs_twice_or_after_a_refusal():
    journal = Journal(
        [call("/once/1", 503)],
        [arrival("orders", "/once/1"), arrival("orders", "/once/1", server_id="i-2")],
        versions=[version()],
    )
    assert violated(journal) == {"runs once", "not run is true"}


def test_a_refused_request_that_did_not_run_is_told_truly():
    journal = Journal(
        [call("/once/1", 503)], [arrival("orders", "/once/1", ran=False)], versions=[version()]
    )
    assert violated(journal) == set()


def test_a_request_at_a_service_that_no_version_names():
    journal = single()
    journal.arrivals.append(arrival("orders"))
    assert violated(journal) == {"right service"}


def test_more_servers_than_a_route_allows():
    journal = single()
    journal.arrivals = [arrival(server_id=f"i-{n}") for n in range(4)]
    assert violated(journal) == {"attempts"}


def test_more_repeats_than_the_budget():
    journal = single()
    journal.arrivals = [arrival(ran=False) for _ in range(BUDGET_SLACK + 3)]
    assert violated(journal) == {"repeats"}


def test_more_time_than_is_left_but_not_if_the_link_held_the_request_up():
    journal = single()
    journal.arrivals = [arrival(at=SENT_AT + 1.0, deadline_s=1.4)]
    assert violated(journal) == {"time handed on"}
    journal.disturbances = [Disturbance("reads/north", "link silent", SENT_AT, SENT_AT + 0.9)]
    assert violated(journal) == set()


def test_a_cold_server_that_gets_too_much():
    journal = Journal(versions=[version()])
    for number in range(36):
        journal.calls.append(call(request_id=f"q-{number}", status=503))
        journal.arrivals.append(arrival(request_id=f"q-{number}", was_cold=True))
    assert violated(journal) == {"cold servers"}


@pytest.mark.parametrize(
    ("left_at", "expected"), [(SENT_AT - 4, {"leaving servers"}), (SENT_AT - 2, set())]
)
def test_a_server_that_leaves(left_at, expected):
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
def test_a_domain_out_of_service(start, end, expected):
    journal = single()
    journal.exclusions = [("north", start, end)]
    assert violated(journal) == expected


def test_a_version_that_is_not_in_force_in_time():
    journal = Journal(
        [call("/v2/1", 404)],
        versions=[version(), version(2, SENT_AT - 3.5, probes=("/v1/", "/v2/"))],
    )
    assert violated(journal) == {"configuration in time"}
    journal.calls[0].sent_at = SENT_AT - 0.6
    assert violated(journal) == set()


def test_a_daemon_that_goes_back_to_an_older_version_and_one_that_was_restarted():
    versions = [version(), version(2, SENT_AT - 2.5, probes=("/v1/", "/v2/"))]
    ok = call("/v2/1", 200, response_body=reply_body("reads", "q-1"))
    ok.headers = {"x-marigoldwalk-response-stamp": "sig"}
    back = call("/v2/1", 404, SENT_AT + 0.4, "q-2")
    journal = Journal([ok, back], [arrival(path="/v2/1")], {"sig": reply()}, versions)
    assert violated(journal) == {"configuration never back"}
    journal.disturbances = [Disturbance("g-0", "kill", SENT_AT + 0.1, SENT_AT + 0.3)]
    assert violated(journal) == set()


def test_a_planned_stop_that_cuts_a_request():
    journal = single(status=None, response_body=b"", ended_at=SENT_AT + 0.1)
    journal.planned_stops = [("g-0", SENT_AT - 1, SENT_AT + 5)]
    assert violated(journal) == {"planned stops"}
    journal.disturbances = [Disturbance("g-0", "pause", SENT_AT, SENT_AT + 1)]
    assert violated(journal) == set()


def test_a_process_that_ends_by_itself():
    assert violated(Journal(unexpected_exits=[("g-0", SENT_AT, 1)])) == {"processes live"}


def test_callers_that_are_not_served_after_the_faults():
    journal = Journal(
        [call(status=503, sent_at=SENT_AT)], versions=[version()], faults_ended_at=SENT_AT - 13
    )
    assert violated(journal) == {"recovery"}
