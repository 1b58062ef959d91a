from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.data import Dataset, Layout
from standins.search import InvalidBody, direct_answer, operation_of, search

DATA = Dataset(seed=1)

BODIES = (
    ("precedents", {"op": "text", "text": "MURO agrietado, ruido"}),
    ("kiosks", {"op": "nearest", "lat": 47.5, "lon": 19}),
    ("kiosks", {"op": "stock"}),
    ("kiosks", {"op": "stock", "models": ["PB-5000"]}),
    ("settlements", {"op": "get", "key": "o-0007"}),
)


@settings(derandomize=True, max_examples=30, deadline=None)
@given(case=st.sampled_from(BODIES), shard_count=st.integers(1, 70), limit=st.sampled_from([3, 10]))
def test_merged_shards_equal_the_direct_answer(case, shard_count, limit):
    index, body = case
    layout = Layout(index, 1, shard_count)
    parts = [search(index, shard, body, limit) for shard in DATA.shards(layout)]
    merged = operation_of(index, body).merge(hit for part in parts for hit in part)
    answer = direct_answer(DATA, layout, body, limit)
    assert merged[:limit] == answer
    assert answer == direct_answer(DATA, Layout(index, 1, 1), body, limit)


def test_answer_over_given_shards_uses_only_those():
    layout = Layout("kiosks", 1, 50)
    body = {"op": "stock", "models": ["PB-5000"]}
    total = sum(record.body["stock"]["PB-5000"] for n in (3, 9) for record in DATA.shard(layout, n))
    assert [hit.score for hit in direct_answer(DATA, layout, body, 5, (3, 9))] == [total]


def test_text_ignores_case_and_accents():
    layout = Layout("precedents", 1, 1)
    plain = direct_answer(DATA, layout, {"text": "musica"}, 5)
    assert plain
    assert plain == direct_answer(DATA, layout, {"text": "Música"}, 5)


def test_receipt_depends_only_on_the_agreement():
    records = DATA.shard(Layout("precedents", 1, 2), 0)
    body = {"op": "record", "agreement": {"parties": ["Andrade", "Tipán"]}}
    assert search("precedents", records, body, 1) == search("precedents", (), body, 1)


@pytest.mark.parametrize(
    "body",
    [{"op": "no such"}, {"op": []}, {"op": "nearest", "lat": "x", "lon": 1}, {"op": "text"}],
)
def test_invalid_body_is_rejected(body):
    with pytest.raises(InvalidBody):
        search("kiosks", DATA.records("kiosks", 1), body, 5)
