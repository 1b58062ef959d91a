from __future__ import annotations

from types import SimpleNamespace

import pytest

from standins.callers import Outcome, Query, check
from standins.data import Dataset, Layout
from standins.search import direct_answer

DATA = Dataset(seed=1)
BODY = {"op": "nearest", "lat": 47.5, "lon": 19.0}
QUERY = Query("kiosk-finder", "kiosks", BODY, 3)


def expected_hits(index, snapshot, body, limit, shards):
    return direct_answer(DATA, Layout(index, snapshot, 50), body, limit, shards)


FLEET = SimpleNamespace(snapshots={"kiosks": {1: 50}}, direct_answer=expected_hits)


def answer(missing=(), **changes):
    covered = [shard for shard in range(50) if shard not in missing]
    hits = expected_hits("kiosks", 1, BODY, 3, covered)
    defaults = {
        "code": 1 if missing else 0,
        "reason": "",
        "execution": "ran",
        "snapshot": 1,
        "coverage": {
            "shards": 50,
            "answered": len(covered),
            "missing": [{"shard": shard, "reason": ""} for shard in missing],
        },
        "hits": [{"key": hit.key, "score": hit.score, "body": hit.body} for hit in hits],
    }
    return defaults | changes


def test_correct_answers_pass_the_check():
    assert check(FLEET, QUERY, answer())[0] is Outcome.CORRECT
    assert check(FLEET, QUERY, answer(missing=(4, 9)))[0] is Outcome.PARTIAL


@pytest.mark.parametrize(
    "wrong",
    [
        answer(hits=answer()["hits"][:2]),
        answer(hits=list(reversed(answer()["hits"]))),
        answer(snapshot=2),
        answer(coverage={"shards": 50, "answered": 50, "missing": [{"shard": 4, "reason": ""}]}),
        answer(coverage={"shards": 49, "answered": 49, "missing": []}),
        answer(code=200),
    ],
)
def test_wrong_answers_fail_the_check(wrong):
    assert check(FLEET, QUERY, wrong)[0] is Outcome.WRONG


def test_refusal_without_execution_is_not_a_wrong_answer():
    refused = answer(code=200, execution="not run", hits=[], reason="busy")
    assert check(FLEET, QUERY, refused) == (Outcome.REFUSED, "busy")
