"""Tests of load plans, outcome files and arrival times."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from bench.generator import arrivals
from bench.load_plan import (
    LoadPlan,
    Stream,
    read_outcomes,
    read_plan,
    write_outcomes,
    write_plan,
)

from .outcomes import outcome

if TYPE_CHECKING:
    from pathlib import Path


def test_arrivals_follow_the_seed_and_the_rate() -> None:
    first = list(arrivals(100.0, 50.0, random.Random(1)))
    assert first == list(arrivals(100.0, 50.0, random.Random(1)))
    assert first == sorted(first)
    assert len(first) == pytest.approx(5000, rel=0.05)


def test_written_plan_can_be_read(tmp_path: Path) -> None:
    plan = LoadPlan((Stream("stock", 2.5, 0.35),), 4.0, ("127.0.0.1:1",), 7)
    write_plan(plan, tmp_path / "plan.json")
    assert read_plan(tmp_path / "plan.json") == plan


def test_written_outcomes_can_be_read(tmp_path: Path) -> None:
    outcomes = [outcome(), outcome(answered=3)]
    write_outcomes(outcomes, tmp_path / "outcomes.jsonl")
    assert read_outcomes(tmp_path / "outcomes.jsonl") == outcomes
