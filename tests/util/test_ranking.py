from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldwalk.util.hashing import rendezvous_order
from marigoldwalk.util.ranking import MAX_KEPT_COUNT, MIN_KEPT_COUNT, Ranking

NAMES = [f"m-{number}" for number in range(40)]
KEYS = ["a/0/0", "a/0/1", "b/0/0"]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.sets(st.sampled_from(NAMES)), max_size=12))
def test_first_names_equal_those_of_the_complete_order(changes: list[set[str]]) -> None:
    ranking = Ranking()
    for names in changes:
        ranking.set_names(sorted(names))
        for key in KEYS:
            first = ranking.first(key)
            assert first == rendezvous_order(key, sorted(names))[: len(first)]
            assert len(first) >= min(MIN_KEPT_COUNT, len(names))
            assert len(first) <= MAX_KEPT_COUNT
            assert ranking.is_complete(first) == (len(first) == len(names))


@settings(derandomize=True, deadline=None)
@given(st.lists(st.sets(st.sampled_from(NAMES)), min_size=2, max_size=12))
def test_several_changes_without_a_read_between_them_are_all_applied(
    changes: list[set[str]],
) -> None:
    ranking = Ranking()
    for names in changes:
        ranking.set_names(sorted(names))
    last = sorted(changes[-1])
    first = ranking.first(KEYS[0])
    assert first == rendezvous_order(KEYS[0], last)[: len(first)]


def test_first_names_follow_the_addition_and_removal_of_one_name() -> None:
    ranking = Ranking()
    ranking.set_names(NAMES[:-1])
    before = {key: ranking.first(key) for key in KEYS}
    ranking.set_names(NAMES)
    for key in KEYS:
        assert ranking.first(key)[:4] == rendezvous_order(key, NAMES)[:4]
    ranking.set_names(NAMES[:-1])
    assert {key: ranking.first(key)[:4] for key in KEYS} == {
        key: names[:4] for key, names in before.items()
    }
