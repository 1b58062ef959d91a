"""Scenarios in which the configuration service fails or operators race."""

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


@scenario("06-platform-outage", cut_allowed=False)
def platform_outage(run: Run) -> None:
    """Lose the platform, get it back with an older revision, then with a newer one."""
    first = run.fleet.revision
    run.fleet.publish()
    _expect_everywhere(run, run.fleet.revision)
    run.fleet.control_platform(outage="error")
    run.go_on(OUTAGE_S)
    _note_answered(run, "without the platform", OUTAGE_S / 2)
    run.fleet.control_platform(outage="", serve_revision=first)
    run.go_on(4.0)
    run.fleet.kill("m-4")
    run.fleet.daemons["m-4"].process.wait()
    run.send_to(without=("m-4",))
    run.fleet.restart("m-4")
    run.send_to()
    run.go_on(4.0)
    _note_answered(run, "with an older revision restored", 4.0)
    run.fleet.control_platform(serve_revision=0)
    run.fleet.publish()
    _expect_everywhere(run, run.fleet.revision)
    run.go_on(3.0)


@scenario("07-hanging-platform", cut_allowed=False)
def hanging_platform(run: Run) -> None:
    """Have the platform take requests and answer none."""
    run.go_on(1.0)
    run.fleet.control_platform(outage="hang")
    run.go_on(OUTAGE_S / 2)
    _note_answered(run, "while the platform hangs", OUTAGE_S / 4)
    run.fleet.control_platform(outage="")
    run.fleet.publish()
    _expect_everywhere(run, run.fleet.revision)
    run.go_on(2.0)


@scenario("08-racing-operators", cut_allowed=False)
def racing_operators(run: Run) -> None:
    """Publish many revisions at once, some invalid, and two texts under one number."""
    rng = random.Random(run.callers.seed)
    run.go_on(1.0)
    for number in range(RACE_COUNT):
        _publish_one(run, rng, number)
        time.sleep(RACE_S / RACE_COUNT)
    _publish_twice(run)
    time.sleep(RACE_S / RACE_COUNT)
    run.fleet.exclude()
    _expect_everywhere(run, run.fleet.revision)
    run.go_on(1.0)
    seen = [run.monitor.read(name) for name in run.names]
    digests = {entry.digest for entry in seen if entry is not None}
    run.findings.expect(len(digests) == 1, f"daemons ended on the digests {sorted(digests)}")
    run.go_on(5.0)


def _publish_one(run: Run, rng: random.Random, number: int) -> None:
    if number % INVALID_EVERY == INVALID_EVERY - 1:
        run.fleet.publish(groups=[{"name": "broken"}])
        return
    service = rng.randint(0, 49)
    run.fleet.exclude(f"service=kiosks-{service:02}")


def _publish_twice(run: Run) -> None:
    """Publish two different texts under one number at once."""
    run.fleet.revision += 1
    for reason in ("first", "second"):
        exclusions = [{"select": "service=kiosks-01", "reason": reason}]
        text = run.fleet.document(run.fleet.revision, exclusions=exclusions)
        run.fleet.control_platform(publish=text)


def _expect_everywhere(run: Run, revision: int) -> None:
    took_s = run.monitor.wait_for_revision(revision, run.names, CONVERGENCE_S)
    run.findings.expect(took_s < CONVERGENCE_S, f"revision {revision} was not followed in time")
    run.findings.notes.append(f"revision {revision} was in force everywhere after {took_s:.2f} s")


def _note_answered(run: Run, when: str, seconds: float) -> None:
    """Note how many of the latest queries were answered."""
    since = time.time() - seconds
    recent = [sending for sending in run.callers.sendings if sending.sent_at > since]
    answered = sum(sending.answer.answered for sending in recent)
    run.findings.notes.append(f"{when}: {answered} of the last {len(recent)} queries answered")
    run.findings.expect(answered > 0, f"no query was answered {when}")
