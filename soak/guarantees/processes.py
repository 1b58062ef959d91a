"""Guarantees about planned stops, unexpected exits and the recovery of daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..daemons import GRACE_S
from .changes import STABILITY_S
from .registry import guarantees

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..journal import Call, Journal

# Bounds from the platform's documentation, in seconds.
LOSS_SLACK_S = 0.2
RECOVERY_S = 12.0


@guarantees.register("planned stops")
def planned_stops(journal: Journal) -> Iterator[tuple[float, str]]:
    """A planned stop interrupts no request that the daemon has read."""
    for daemon, start, end in journal.planned_stops:
        other_faults = [
            d
            for d in journal.disturbances
            if d.target == daemon
            and d.kind not in ("stop", "store reset")
            and d.start <= end
            and d.end >= start - STABILITY_S
        ]
        if other_faults:
            continue
        for call in journal.calls:
            is_affected = call.daemon == daemon and start <= call.sent_at <= end
            if is_affected and _was_interrupted(journal, call):
                yield call.sent_at, f"{daemon} interrupted {call.request_id} during a planned stop"


@guarantees.register("no unexpected exits")
def no_unexpected_exits(journal: Journal) -> Iterator[tuple[float, str]]:
    """No daemon exits unexpectedly, and a planned stop succeeds within the grace period."""
    for daemon, at, status in journal.unexpected_exits:
        paused = any(
            d.target == daemon and d.kind == "pause" and at - GRACE_S - 1.0 <= d.end <= at + 1.0
            for d in journal.disturbances
        )
        if not paused:
            yield at, f"{daemon} ended with status {status}"


@guarantees.register("recovery")
def recovery(journal: Journal) -> Iterator[tuple[float, str]]:
    """After the last fault and the recovery time, at least 90 % of the requests succeed."""
    since = journal.faults_ended_at + RECOVERY_S
    late = [
        call
        for call in journal.calls
        if call.sent_at > since and not call.is_probe and not call.abandoned
    ]
    served = sum(call.is_success for call in late)
    if late and served < 0.9 * len(late):
        yield since, f"{served} of {len(late)} requests were served after the faults"


def _was_interrupted(journal: Journal, call: Call) -> bool:
    """Return whether a request that its daemon had read got no complete response in time."""
    if call.status is not None or call.abandoned:
        return False
    if call.ended_at >= call.sent_at + call.deadline_s:
        # The request reached its deadline, so it was not interrupted.
        return False
    was_forwarded = any(a.request_id == call.request_id for a in journal.arrivals)
    return was_forwarded or call.ended_at - call.sent_at > LOSS_SLACK_S
