"""Tests a rolling replacement of daemons under load."""

from __future__ import annotations

import random

import pytest

from marigoldwalk.errors import Code

from .fleet import FleetDriver
from .views import make_view

DAEMONS = 6
REPLACED = 3
SERVICES = 6
LEAVING_S = 2.0
"""Time for which the balancer still sends callers to a daemon that is leaving."""


class Replacement:
    """Replaces daemons one after the other, with a query every 30 ms on average."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = FleetDriver(DAEMONS, view=make_view(services=SERVICES), seed=seed)
        self.names = list(self.fleet.nodes)
        self.targets = list(self.names)
        for name in self.names:
            self.fleet.platform.list_lag_s[name] = self.rng.uniform(0.0, 0.4)

    def send_queries(self, seconds: float) -> None:
        """Query the daemons to which a balancer would send callers."""
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            self.fleet.ask(self.rng.choice(self.targets), "search", str(self.rng.random()))
            self.fleet.run(self.rng.uniform(0.0, 0.06))

    def replace(self, name: str) -> None:
        """Stop a daemon as planned and start it again."""
        fleet = self.fleet
        fleet.publish_instances(self.names, leaving=[name])
        fleet.stop(name)
        self.send_queries(LEAVING_S)
        self.targets = [other for other in self.names if other != name]
        while not fleet.nodes[name].exited:
            self.send_queries(0.1)
        fleet.publish_instances(self.targets)
        self.send_queries(0.5)
        fleet.start(name)
        fleet.publish_instances(self.names)
        while not fleet.nodes[name].ready:
            self.send_queries(0.1)
        self.targets = list(self.names)
        self.send_queries(1.0)


@pytest.mark.parametrize("seed", range(3))
def test_a_rolling_replacement_loses_no_shard_of_any_answer(seed):
    replacement = Replacement(seed)
    fleet = replacement.fleet
    fleet.run(3.0)
    for name in replacement.names[:REPLACED]:
        replacement.replace(name)
    fleet.run(1.0)
    assert len(fleet.answers) == len(fleet.asked)
    incomplete = [
        (round(fleet.answered_at[number] - 1_000_000, 3), fleet.asked[number][0], answer.missing)
        for number, answer in fleet.answers.items()
        if answer.code is not Code.OK
    ]
    assert not incomplete
