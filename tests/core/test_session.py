"""Tests that a recorded session of a core is reproduced exactly."""

from __future__ import annotations

from marigoldwalk.core.composition import Core

from .fleet import START
from .session import DAEMON, GOLDEN, describe, run_session


def test_session_matches_the_golden_file():
    assert describe(run_session(), DAEMON) == GOLDEN.read_text(encoding="utf-8")


def test_replaying_the_events_on_a_new_core_gives_the_same_actions():
    fleet = run_session()
    node = fleet.nodes[DAEMON]
    world = node.core.world
    core = Core(world.identity, world.parameters, world.accept)
    replayed = [core.step(at, arrived) for at, arrived in node.steps]
    assert replayed == node.step_actions
    assert node.steps[0][0] == START
