"""A whole session of a core gives the same actions as the golden file."""

from __future__ import annotations

from marigoldwalk.core.composition import Core

from .fleet import START
from .session import DAEMON, GOLDEN, describe, run_session


def test_the_session_equals_the_golden_file():
    assert describe(run_session(), DAEMON) == GOLDEN.read_text(encoding="utf-8")


def test_the_same_events_give_the_same_actions_to_a_new_core():
    fleet = run_session()
    node = fleet.nodes[DAEMON]
    world = node.core.world
    core = Core(world.identity, world.parameters, world.accept)
    replayed = [core.step(at, arrived) for at, arrived in node.steps]
    assert replayed == node.step_actions
    assert node.steps[0][0] == START
