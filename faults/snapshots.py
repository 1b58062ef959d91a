"""Scenarios in which the snapshots of an index change while queries run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .scenario import scenario

if TYPE_CHECKING:
    from .scenario import Run

INDEX = "kiosks"
SHARD_COUNT = 50
NEW_SHARD_COUNT = 60


@scenario("17-snapshots", lost_replies_allowed=False)
def new_snapshots(run: Run) -> None:
    """Roll out a new snapshot, then one with more shards, and remove the old ones."""
    run.continue_load(2.0)
    _roll_out(run, {1: SHARD_COUNT, 2: SHARD_COUNT})
    run.continue_load(2.0)
    _roll_out(run, {2: SHARD_COUNT})
    _roll_out(run, {2: SHARD_COUNT, 3: NEW_SHARD_COUNT})
    run.continue_load(2.0)
    _roll_out(run, {3: NEW_SHARD_COUNT})
    run.continue_load(3.0)
    snapshots = {
        call.answer.snapshot
        for call in run.callers.calls
        if call.query.index == INDEX and call.answer.answered
    }
    run.findings.notes.append(f"answers came from the snapshots {sorted(snapshots)}")
    run.findings.expect(snapshots == {1, 2, 3}, "not every snapshot answered a query")


def _roll_out(run: Run, shard_counts: dict[int, int]) -> None:
    """Set these snapshots at the servers of the index, one server at a time."""
    run.fleet.roll_out_snapshots(INDEX, shard_counts, pause_s=0.04)
