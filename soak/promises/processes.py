"""Promises about stops, ends and recovery of daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..daemons import GRACE_S
from .changes import STABILITY_S
from .registry import promises

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..journal import Journal, Sending

# The bounds of the platform's pages, in seconds.
LOSS_SLACK_S = 0.2
RECOVERY_S = 12.0


@promises.register("planned stops")
def planned_stops(journal: Journal) -> Iterator[tuple[float, str]]:
    """A planned stop cuts no request that the daemon has read."""
    for daemon, start, end in journal.stops:
        others = [
            d
            for d in journal.disturbances
            if d.daemon == daemon
            and d.kind not in ("stop", "store reset")
            and d.start <= end
            and d.end >= start - STABILITY_S
        ]
        if others:
            continue
        for sending in journal.sendings:
            is_ours = sending.daemon == daemon and start <= sending.sent_at <= end
            if is_ours and _was_cut(journal, sending):
                yield sending.sent_at, f"{daemon} cut {sending.request_id} while it stopped"


@promises.register("processes live")
def processes_live(journal: Journal) -> Iterator[tuple[float, str]]:
    """No daemon ends by itself, and a planned stop ends well within its grace time."""
    for daemon, at, status in journal.ends:
        paused = any(
            d.daemon == daemon and d.kind == "pause" and at - GRACE_S - 1.0 <= d.end <= at + 1.0
            for d in journal.disturbances
        )
        if not paused:
            yield at, f"{daemon} ended with status {status}"


@promises.register("recovery")
def recovery(journal: Journal) -> Iterator[tuple[float, str]]:
    """After the last fault, callers are served again."""
    since = journal.calm_from + RECOVERY_S
    late = [s for s in journal.sendings if s.sent_at > since and not s.is_probe and not s.gave_up]
    served = sum(s.is_success for s in late)
    if late and served < 0.9 * len(late):
        yield since, f"{served} of {len(late)} requests were served after the faults"


def _was_cut(journal: Journal, sending: Sending) -> bool:
    """Return whether a request that its daemon had read got no whole answer in time."""
    if sending.status is not None or sending.gave_up:
        return False
    if sending.ended_at >= sending.sent_at + sending.deadline_s:
        # The caller waited to its deadline in vain, so nothing was cut.
        return False
    was_passed_on = any(a.request_id == sending.request_id for a in journal.arrivals)
    return was_passed_on or sending.ended_at - sending.sent_at > LOSS_SLACK_S
