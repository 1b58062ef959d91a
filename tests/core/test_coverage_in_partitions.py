"""Answers state their coverage correctly when homes become reachable during a query."""

from __future__ import annotations

import pytest

from .fleet import FleetDriver
from .views import make_view

SERVICES = 12
QUERIES = 60
PARTITIONS = 4


@pytest.mark.parametrize("seed", range(2))
def test_no_shard_is_both_answered_and_missing(seed):
    """A trial's shard has no reachable home, so a trial on another shard follows.

    Once that one succeeds, all shards are sent, including the first.
    """
    view = make_view(services=SERVICES, canary=True)
    fleet = FleetDriver(daemons=4, view=view, seed=seed)
    fleet.run(3.0)
    for partition in range(PARTITIONS):
        fleet.network.split(["m-1"], ["m-2", "m-3", "m-4"])
        fleet.run(1.5)
        fleet.after(0.2, fleet.network.heal)
        for number in range(QUERIES):
            fleet.ask("m-1", body=f"text {partition} {number}")
            fleet.run(0.01)
        fleet.run(1.0)
    answers = fleet.answers.values()
    assert len(answers) == len(fleet.asked)
    counts = {(answer.answered + len(answer.missing), answer.shard_count) for answer in answers}
    assert all(counted == expected for counted, expected in counts), counts
