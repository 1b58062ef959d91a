"""Checks of the answers and of the servers' journals after a run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from marigoldwalk.errors import Code, Execution
from standins.data import Layout, shard_of
from standins.search import direct_answer

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .fleet import FaultFleet
    from .load import Call

MAX_EXAMPLES = 2
"""Maximum number of overload violations reported for each server."""


@dataclass(slots=True)
class Findings:
    """The results of one run: statistics, notes and violations.

    The counts from ``wrong_answers`` to ``reverts`` are 0 in a run without violations.
    """

    queries: int = 0
    answered: int = 0
    wrong_answers: int = 0
    false_coverage: int = 0
    run_twice: int = 0
    false_not_run: int = 0
    over_slots: int = 0
    cold_overloads: int = 0
    late_work: int = 0
    """Subrequests that excluded or leaving servers received after the allowed time."""
    reverts: int = 0
    """Observations of a daemon with a lower revision than it had before."""
    lost_replies: int = 0
    """Calls that got no reply although the caller waited for the full time-out."""
    deaths: int = 0
    coverage_mean: float = 0.0
    coverage_min: float = 0.0
    max_latency_s: float = 0.0
    codes: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    """One message for each violation."""
    notes: list[str] = field(default_factory=list)

    def add_violation(self, text: str) -> None:
        """Record a violation of a guarantee."""
        self.violations.append(text)

    def expect(self, condition: bool, text: str) -> None:
        """Record *text* as a violation if *condition* is false."""
        if not condition:
            self.add_violation(text)


def check_answers(findings: Findings, fleet: FaultFleet, calls: Sequence[Call]) -> None:
    """Check each answer against its snapshot and coverage, and collect the statistics."""
    findings.queries = len(calls)
    ratios = []
    for call in calls:
        answer = call.answer
        findings.codes["abandoned by the caller" if call.abandoned else answer.code.name] += 1
        findings.lost_replies += call.lost_reply
        if answer.answered:
            ratios.append(answer.coverage.ratio)
            _check_answer(findings, fleet, call)
        if answer.daemon:
            latency_s = call.received_at - call.sent_at
            findings.max_latency_s = max(findings.max_latency_s, latency_s)
    findings.answered = len(ratios)
    findings.coverage_mean = sum(ratios) / len(ratios) if ratios else 0.0
    findings.coverage_min = min(ratios, default=0.0)


def _check_answer(findings: Findings, fleet: FaultFleet, call: Call) -> None:
    query, answer = call.query, call.answer
    shard_count = fleet.shard_counts(query.index).get(answer.snapshot)
    if shard_count is None or answer.index != query.index:
        findings.wrong_answers += 1
        findings.add_violation(f"{call.daemon} answered from unknown snapshot {answer.snapshot}")
        return
    covered = _covered_shards(call, shard_count)
    if covered is None:
        findings.false_coverage += 1
        findings.add_violation(f"{call.daemon} reported inconsistent coverage: {answer.coverage}")
        return
    layout = Layout(query.index, answer.snapshot, shard_count)
    expected = direct_answer(fleet.data, layout, query.body, query.limit, covered)
    wanted = [(hit.key, hit.score, hit.body) for hit in expected]
    found = [(hit.key, hit.score, hit.body) for hit in answer.hits]
    if found != wanted:
        findings.wrong_answers += 1
        findings.add_violation(
            f"{call.daemon} answered {query.body} with {found[:2]}, expected {wanted[:2]}"
        )


def _covered_shards(call: Call, shard_count: int) -> list[int] | None:
    """Return the shards that an answer reports as covered, or ``None`` if it contradicts itself."""
    key, answer = call.query.key, call.answer
    requested = {shard_of(key, shard_count)} if key else set(range(shard_count))
    missing = [entry.shard for entry in answer.coverage.missing]
    covered = requested - set(missing)
    complete = answer.code is Code.OK
    consistent = (
        answer.coverage.shards == len(requested)
        and answer.coverage.answered == len(covered)
        and len(set(missing)) == len(missing)
        and set(missing) <= requested
        and complete == (not missing)
    )
    return sorted(covered) if consistent else None


def check_journals(
    findings: Findings, fleet: FaultFleet, calls: Sequence[Call]
) -> dict[str, dict[str, Any]]:
    """Check the servers' journals against the answers to callers; return the journals."""
    journals = fleet.journals()
    for name, journal in journals.items():
        _check_concurrency(findings, name, fleet.servers[name].slots, journal)
    _check_executions(findings, journals.values(), calls)
    return journals


def _check_concurrency(findings: Findings, name: str, slots: int, journal: dict[str, Any]) -> None:
    findings.deaths += len(journal["deaths"])
    findings.cold_overloads += journal["cold_overloads"]
    peak = max(journal["running_peak"], journal["held_peak"])
    findings.over_slots += peak > slots
    for overload in journal["crowds"][:MAX_EXAMPLES]:
        state = "cold " if overload["cold"] else ""
        findings.add_violation(
            f"{state}{name} held too many subrequests at once: {'; '.join(overload['attempts'])}"
        )


def _check_executions(
    findings: Findings, journals: Iterable[dict[str, Any]], calls: Sequence[Call]
) -> None:
    runs: Counter[str] = Counter()
    first_run_at: dict[str, float] = {}
    for journal in journals:
        runs.update(journal["executions"])
        for request_id, at in journal["first_run_at"].items():
            first_run_at[request_id] = min(at, first_run_at.get(request_id, at))
    for request_id, count in runs.items():
        if count > 1:
            findings.run_twice += 1
            findings.add_violation(f"request {request_id} was executed {count} times")
    for call in calls:
        request_id, answer = call.query.request_id, call.answer
        if (
            call.reported_not_run
            and first_run_at.get(request_id, call.received_at) < call.received_at
        ):
            findings.false_not_run += 1
            findings.add_violation(
                f"{call.daemon} reported {request_id} as not run after it had run: {answer.reason}"
            )
    with_id = [call for call in calls if call.query.request_id]
    reported_run = {
        call.query.request_id for call in with_id if call.answer.execution is Execution.RAN
    }
    for request_id in reported_run - runs.keys():
        findings.add_violation(f"request {request_id} was reported as run but no server ran it")


def check_late_work(
    findings: Findings, fleet: FaultFleet, servers: Iterable[str], after: float
) -> None:
    """Count the subrequests that *servers* received after the Unix time *after*."""
    journals = fleet.journals(after)
    for name in servers:
        received = journals[name]["received"]
        if received:
            findings.late_work += received
            late_s = journals[name]["last_received_at"] - after
            findings.add_violation(
                f"{name} received {received} subrequests, {late_s:.2f} s too late"
            )
