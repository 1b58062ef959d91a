from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from faults.checks import Findings, check_answers, check_journals, check_late_work
from faults.load import Call, Query
from marigoldwalk.client.answer import Answer, Coverage, Hit, MissingShard
from marigoldwalk.errors import Code, Execution
from standins.data import Dataset, Layout
from standins.fleet_plan import Server
from standins.journal import Journal, Overload
from standins.search import direct_answer

SHARDS = 10
QUERY = Query("kiosk-finder", "kiosks", {"op": "nearest", "lat": 47.5, "lon": 19.0}, 5)
AT_MOST_ONCE_QUERY = Query("owner-portal", "settlements", {}, 1, "o-0001", True, "id-1", 1.0)
SERVER = Server("s-1", "kiosks", "kiosks-00", "bud-a", 2, "127.0.0.1:1", "127.0.0.1:2")


@dataclass
class FakeFleet:
    """A fleet with only what the checks use."""

    data: Dataset = field(default_factory=Dataset)
    journal: Journal = field(default_factory=Journal)
    servers: dict[str, Server] = field(default_factory=lambda: {"s-1": SERVER})

    def shard_counts(self, index: str) -> dict[int, int]:
        return {1: SHARDS}

    def journals(self, after: float = 0.0) -> dict[str, dict[str, Any]]:
        return {"s-1": self.journal.summary(after)}


def call(answer: Answer, query: Query = QUERY) -> Call:
    return Call(query, "m-1", 10.0, 11.0, short_timeout=False, answer=answer)


def correct_answer(missing: tuple[int, ...] = ()) -> Answer:
    covered = [shard for shard in range(SHARDS) if shard not in missing]
    hits = direct_answer(Dataset(), Layout("kiosks", 1, SHARDS), QUERY.body, 5, covered)
    return Answer(
        Code.PARTIAL if missing else Code.OK,
        "",
        Execution.RAN,
        "kiosk-finder",
        "kiosks",
        1,
        Coverage(SHARDS, len(covered), tuple(MissingShard(shard, "") for shard in missing)),
        tuple(Hit(hit.key, hit.score, hit.body) for hit in hits),
        daemon="m-1",
    )


def check(answer: Answer) -> Findings:
    findings = Findings()
    check_answers(findings, FakeFleet(), [call(answer)])
    return findings


@pytest.mark.parametrize("missing", [(), (3,), (0, 9)])
def test_correct_answer_has_no_violations(missing):
    findings = check(correct_answer(missing))
    assert not findings.violations
    assert findings.coverage_min == 1 - len(missing) / SHARDS


def test_answer_without_an_expected_hit_is_wrong():
    answer = correct_answer()
    assert check(replace(answer, hits=answer.hits[1:])).wrong_answers == 1


def test_answer_from_an_unknown_snapshot_is_wrong():
    assert check(replace(correct_answer(), snapshot=2)).wrong_answers == 1


@pytest.mark.parametrize(
    "coverage",
    [
        Coverage(SHARDS, SHARDS - 1, ()),
        Coverage(SHARDS + 1, SHARDS + 1, ()),
        Coverage(SHARDS, SHARDS - 1, (MissingShard(SHARDS, ""),)),
        Coverage(SHARDS, SHARDS - 1, (MissingShard(1, ""), MissingShard(1, ""))),
    ],
)
def test_inconsistent_coverage_is_false(coverage):
    assert check(replace(correct_answer(), coverage=coverage)).false_coverage == 1


def check_executions(fleet: FakeFleet, execution: Execution) -> Findings:
    findings = Findings()
    answer = Answer(Code.NO_SERVER, "", execution, "owner-portal", daemon="m-1")
    check_journals(findings, fleet, [call(answer, AT_MOST_ONCE_QUERY)])
    return findings


def test_request_executed_twice_is_counted():
    fleet = FakeFleet()
    fleet.journal.record_run(10.1, "id-1", 1)
    fleet.journal.record_run(10.2, "id-1", 1)
    assert check_executions(fleet, Execution.UNKNOWN).run_twice == 1


def test_not_run_reply_after_an_execution_is_false():
    fleet = FakeFleet()
    fleet.journal.record_run(10.5, "id-1", 1)
    assert check_executions(fleet, Execution.NOT_RUN).false_not_run == 1
    assert check_executions(fleet, Execution.UNKNOWN).false_not_run == 0


def test_ran_reply_without_an_execution_is_a_violation():
    assert check_executions(FakeFleet(), Execution.RAN).violations


def test_overloads_of_cold_servers_are_counted_separately():
    fleet = FakeFleet()
    fleet.journal.held_peak = 3
    fleet.journal.cold_overloads = 1
    fleet.journal.crowds = [Overload(1.0, True, ("a", "b")), Overload(2.0, False, ("a", "b", "c"))]
    findings = check_executions(fleet, Execution.UNKNOWN)
    assert (findings.over_slots, findings.cold_overloads) == (1, 1)
    assert len(findings.violations) == 2


def test_subrequest_after_the_bound_is_late_work():
    fleet = FakeFleet()
    fleet.journal.record_arrival(5.0, "a")
    fleet.journal.record_arrival(9.0, "b")
    findings = Findings()
    check_late_work(findings, fleet, ["s-1"], 6.0)
    assert findings.late_work == 1
