from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from marigoldwalk.routing.model import WeightedService
from marigoldwalk.routing.splits import SplitChooser

from .simulation import single_route

weights = st.lists(st.integers(1, 9), min_size=1, max_size=4)


@given(weights, st.integers(1, 300))
def test_each_service_gets_its_share_over_any_number_of_requests(parts, count):
    splits = tuple(WeightedService(f"s-{n}", weight) for n, weight in enumerate(parts))
    route = single_route(splits=splits)
    chooser = SplitChooser()
    chosen = Counter(chooser.choose(route) for _ in range(count))
    for split in splits:
        expected = count * split.weight / sum(parts)
        assert abs(chosen[split.service] - expected) <= len(parts)
