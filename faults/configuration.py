"""Scenarios in which the platform fails or operators publish revisions concurrently."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from .scenario import scenario

if TYPE_CHECKING:
    from .scenario import Run

OUTAGE_S = 20.0
CONVERGENCE_S = 4.0
RACE_S = 2.0
RACE_COUNT = 20
INVALID_EVERY = 4


@scenario("06-platform-outage", lost_replies_allowed=False)
def platform_outage(run: Run) -> None:
    """Make the platform fail, then serve an older revision, then a newer one."""
    first = run.fleet.revision
    run.fleet.publish()
    _expect_revision_everywhere(run, run.fleet.revision)
    run.fleet.control_platform(outage="error")
    run.continue_load(OUTAGE_S)
    _record_answered(run, "without the platform", OUTAGE_S / 2)
    run.fleet.control_platform(outage="", serve_revision=first)
    run.continue_load(4.0)
    run.fleet.kill("m-4")
    run.fleet.daemons["m-4"].process.wait()
    run.set_targets(without=("m-4",))
    run.fleet.restart("m-4")
    run.set_targets()
    run.continue_load(4.0)
    _record_answered(run, "with an older revision restored", 4.0)
    run.fleet.control_platform(serve_revision=0)
    run.fleet.publish()
    _expect_revision_everywhere(run, run.fleet.revision)
    run.continue_load(3.0)


@scenario("07-hanging-platform", lost_replies_allowed=False)
def hanging_platform(run: Run) -> None:
    """Make the platform accept requests and answer none."""
    run.continue_load(1.0)
    run.fleet.control_platform(outage="hang")
    run.continue_load(OUTAGE_S / 2)
    _record_answered(run, "while the platform hangs", OUTAGE_S / 4)
    run.fleet.control_platform(outage="")
    run.fleet.publish()
    _expect_revision_everywhere(run, run.fleet.revision)
    run.continue_load(2.0)


@scenario("08-racing-operators", lost_replies_allowed=False)
def racing_operators(run: Run) -> None:
    """Publish many revisions in quick succession, some invalid, and two under one number."""
    rng = random.Random(run.callers.seed)
    run.continue_load(1.0)
    for number in range(RACE_COUNT):
        _publish_one(run, rng, number)
        time.sleep(RACE_S / RACE_COUNT)
    _publish_conflicting(run)
    time.sleep(RACE_S / RACE_COUNT)
    run.fleet.exclude()
    _expect_revision_everywhere(run, run.fleet.revision)
    run.continue_load(1.0)
    observations = [run.monitor.read(name) for name in run.daemon_names]
    digests = {entry.digest for entry in observations if entry is not None}
    run.findings.expect(
        len(digests) == 1, f"daemons ended with different digests: {sorted(digests)}"
    )
    run.continue_load(5.0)


def _publish_one(run: Run, rng: random.Random, number: int) -> None:
    """Exclude a random service or, each ``INVALID_EVERY``-th time, publish an invalid document."""
    if number % INVALID_EVERY == INVALID_EVERY - 1:
        run.fleet.publish(groups=[{"name": "broken"}])
        return
    service = rng.randint(0, 49)
    run.fleet.exclude(f"service=kiosks-{service:02}")


def _publish_conflicting(run: Run) -> None:
    """Publish two different documents under one revision number, one right after the other."""
    run.fleet.revision += 1
    for reason in ("first", "second"):
        exclusions = [{"select": "service=kiosks-01", "reason": reason}]
        text = run.fleet.document(run.fleet.revision, exclusions=exclusions)
        run.fleet.control_platform(publish=text)


def _expect_revision_everywhere(run: Run, revision: int) -> None:
    took_s = run.monitor.wait_for_revision(revision, run.daemon_names, CONVERGENCE_S)
    run.findings.expect(took_s < CONVERGENCE_S, f"revision {revision} was not applied in time")
    run.findings.notes.append(f"all daemons applied revision {revision} after {took_s:.2f} s")


def _record_answered(run: Run, when: str, seconds: float) -> None:
    """Record how many queries of the last *seconds* were answered; expect at least one."""
    since = time.time() - seconds
    recent = [call for call in run.callers.calls if call.sent_at > since]
    answered = sum(call.answer.answered for call in recent)
    run.findings.notes.append(f"{when}: {answered} of the last {len(recent)} queries answered")
    run.findings.expect(answered > 0, f"no query was answered {when}")
