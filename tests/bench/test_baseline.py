"""Tests of the plain fan-out and of the answer check, with real processes."""

from __future__ import annotations

from dataclasses import replace

from bench.checking import check_answers
from bench.rig import Rig, RigOptions

GROUP = "technician-dispatch"


def test_answers_of_both_systems_are_correct_and_a_wrong_one_is_detected() -> None:
    with Rig(RigOptions("budapest", daemons=2, seconds=2.0)) as rig:
        results = [rig.load([rig.stream(GROUP, load=0.1)], plain=plain) for plain in (False, True)]
        checks = [check_answers(rig.fleet, result.outcomes) for result in results]
        answer = next(outcome for outcome in results[1].outcomes if outcome.hits)
        wrong = replace(answer, hits=answer.hits[1:])
        assert all(check.checked and not check.wrong for check in checks)
        assert check_answers(rig.fleet, [wrong]).wrong == 1
