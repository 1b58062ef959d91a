"""Scenarios in which daemons are killed, paused, cut off or stopped gracefully."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

from marigoldwalk.errors import Missing

from .scenario import scenario

if TYPE_CHECKING:
    from .scenario import Run

LIST_LAG_S = 3.0
"""Time after which the platform's instance list omits a daemon that has ended."""
BALANCER_LAG_S = 2.5
"""Time for which the balancer still directs callers to a daemon that is leaving."""
PAUSE_S = 20.0
STOP_TIMEOUT_S = 15.0
CONVERGENCE_S = 4.0
"""Time within which every daemon must apply a revision."""

_LOAD_REASONS = {Missing.LATE.value, Missing.DEADLINE.value, Missing.OVERLOADED.value}
"""Reasons for a missing shard that a busy machine alone can cause."""


@scenario("01-quiet", lost_replies_allowed=False)
def quiet(run: Run) -> None:
    """Inject no fault, as a baseline."""
    run.continue_load(12.0)
    _expect_complete_answers(run)


@scenario("02-kill")
def kill(run: Run) -> None:
    """Kill one daemon, then two at once, and restart them."""
    run.continue_load(2.0)
    for victims in (("m-2",), ("m-3", "m-5")):
        for name in victims:
            run.fleet.kill(name)
        run.continue_load(LIST_LAG_S)
        run.fleet.set_instances(without=victims)
        run.set_targets(without=victims)
        run.continue_load(4.0)
        run.fleet.restart(*victims)
        run.set_targets()
        run.continue_load(5.0)


@scenario("03-pause")
def pause(run: Run) -> None:
    """Pause a daemon while a failure domain is excluded, then resume it."""
    run.continue_load(2.0)
    paused = "m-1"
    run.fleet.kill(paused, signal.SIGSTOP)
    run.continue_load(1.0)
    excluded_at, excluded = _exclude(run, "bud-b", without=(paused,))
    run.continue_load(LIST_LAG_S)
    run.set_targets(without=(paused,))
    run.continue_load(PAUSE_S - LIST_LAG_S)
    run.fleet.kill(paused, signal.SIGCONT)
    run.set_targets()
    run.continue_load(6.0)
    run.check_late_work(excluded, excluded_at)
    run.fleet.exclude()
    run.continue_load(5.0)


@scenario("04-cut-from-platform", lost_replies_allowed=False, relayed=True)
def cut_from_platform(run: Run) -> None:
    """Disconnect a daemon from the platform while a failure domain is excluded."""
    run.continue_load(2.0)
    run.fleet.cut_platform("m-1")
    run.continue_load(1.0)
    excluded_at, excluded = _exclude(run, "bud-c")
    run.continue_load(12.0)
    run.check_late_work(excluded, excluded_at)
    run.fleet.heal_platform("m-1")
    run.fleet.exclude()
    run.continue_load(5.0)


@scenario("05-rolling-replacement", lost_replies_allowed=False)
def rolling_replacement(run: Run) -> None:
    """Stop each daemon gracefully and replace it, while callers are still directed to it."""
    run.continue_load(2.0)
    for name in run.daemon_names:
        run.fleet.set_instances(leaving=[name])
        run.fleet.kill(name, signal.SIGTERM)
        run.continue_load(BALANCER_LAG_S)
        run.set_targets(without=(name,))
        process = run.fleet.daemons[name].process
        status = process.wait(STOP_TIMEOUT_S)
        run.findings.expect(status == 0, f"{name} ended with status {status}")
        run.fleet.set_instances(without=[name])
        run.fleet.restart(name)
        run.set_targets()
        run.continue_load(2.0)
    _expect_complete_answers(run)


def _exclude(run: Run, domain: str, without: tuple[str, ...] = ()) -> tuple[float, list[str]]:
    """Exclude a failure domain; return the time of the exclusion and the domain's servers.

    Waits until all daemons but *without* have the new revision in force.
    """
    excluded_at = time.time()
    revision = run.fleet.exclude(f"domain={domain}")
    daemons = tuple(name for name in run.daemon_names if name not in without)
    took_s = run.monitor.wait_for_revision(revision, daemons, CONVERGENCE_S)
    run.findings.expect(took_s < CONVERGENCE_S, f"revision {revision} was not applied in time")
    run.findings.notes.append(f"daemons applied revision {revision} after {took_s:.2f} s")
    return excluded_at, run.servers_in(domain)


def _expect_complete_answers(run: Run) -> None:
    """Record a violation for each answer with missing shards.

    Shards that are missing because they were late or servers' queues were full are only counted in
    a note: on a busy machine they occur without any fault.
    """
    overloaded_count = 0
    for call in run.callers.calls:
        if call.answer.answered:
            reasons = {entry.reason for entry in call.answer.coverage.missing}
            overloaded_count += bool(reasons & _LOAD_REASONS)
            if reasons - _LOAD_REASONS:
                run.findings.add_violation(
                    f"{call.daemon} omitted shards of {call.query.group}:"
                    f" {'; '.join(sorted(reasons))}"
                )
    run.findings.notes.append(
        f"{overloaded_count} answers omitted shards that were late or overloaded"
    )
