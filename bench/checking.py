"""Check of answers against a direct computation over the shards that they claim to cover."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .deployments import group_of, index_of
from .load_stats import is_answer

if TYPE_CHECKING:
    from collections.abc import Sequence

    from standins.fleet import Fleet

    from .load_plan import Outcome

CHECKED_COUNT = 150
"""Minimum number of answers checked per load; all of them if there are fewer."""


@dataclass(frozen=True, slots=True)
class AnswerCheck:
    """Number of answers checked, and how many of them were wrong."""

    checked: int
    wrong: int


def check_answers(fleet: Fleet, outcomes: Sequence[Outcome]) -> AnswerCheck:
    """Check a sample of answers spread evenly over a load."""
    answers = [outcome for outcome in outcomes if is_answer(outcome)]
    stride = max(1, len(answers) // CHECKED_COUNT)
    chosen = answers[::stride]
    return AnswerCheck(len(chosen), sum(not is_correct(fleet, outcome) for outcome in chosen))


def is_correct(fleet: Fleet, outcome: Outcome) -> bool:
    """Return whether the hits are those of the shards that the answer claims to cover."""
    missing = set(outcome.missing)
    if outcome.answered + len(missing) != outcome.shards:
        return False
    deployment = fleet.options.deployment
    index = index_of(deployment, outcome.group)
    limit = group_of(deployment, outcome.group).limit
    covered = [shard for shard in range(outcome.shards) if shard not in missing]
    expected = fleet.direct_answer(index, outcome.snapshot, outcome.body, limit, covered)
    return [(hit.key, hit.score) for hit in expected] == [
        (hit.key, hit.score) for hit in outcome.hits
    ]
