"""Tests configuration changes of servers, exclusions, groups and blocks while queries run."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from marigoldwalk.config.blocks import partition_into_blocks

from .fleet import FleetDriver
from .views import SLOTS, make_view

if TYPE_CHECKING:
    from marigoldwalk.config.view import View

SERVICES = 8
CHANGES = 8
QUERIES_PER_CHANGE = 40
LATENCY_S = 0.06


def changed_view(revision: int, rng: random.Random) -> View:
    """Return a view with random services, exclusions, groups and blocks."""
    view = make_view(revision, services=rng.randint(3, SERVICES))
    excluded = {server.name for server in view.servers if rng.random() < 0.2}
    groups = tuple(group for group in view.groups if rng.random() < 0.8)
    blocks = partition_into_blocks(view.servers, rng.choice((1, 2)), rng.choice((1, 2)))
    return replace(view, groups=groups, blocks=blocks, excluded=frozenset(excluded))


@pytest.mark.parametrize("seed", range(8))
def test_changing_all_of_the_configuration_loses_no_query_and_overloads_no_server(seed):
    rng = random.Random(seed)
    fleet = FleetDriver(daemons=5, view=make_view(services=SERVICES), seed=seed)
    for server in fleet.servers.values():
        server.latency_s = LATENCY_S
    fleet.run(3.0)
    for revision in range(2, 2 + CHANGES):
        fleet.publish(changed_view(revision, rng))
        for _ in range(QUERIES_PER_CHANGE):
            fleet.ask(f"m-{rng.randint(1, 5)}", rng.choice(("search", "bulk")), str(rng.random()))
            fleet.run(rng.uniform(0.0, 0.03))
    fleet.run(2.0)
    assert len(fleet.answers) == len(fleet.asked)
    assert max(server.peak for server in fleet.servers.values()) <= SLOTS
    answers = fleet.answers.values()
    assert all(answer.answered + len(answer.missing) == answer.shard_count for answer in answers)
