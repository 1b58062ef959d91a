from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marigoldwalk.routing.merging import top_records

records = st.lists(st.binary(min_size=16, max_size=16), max_size=12)


@given(st.lists(records, max_size=5), st.integers(0, 20), st.binary(max_size=15))
def test_the_greatest_records_of_all_parts_are_returned_in_descending_order(
    parts, top_k, remainder
):
    bodies = [b"".join(part) + remainder for part in parts]
    merged = top_records(bodies, top_k)
    expected = sorted((r for part in parts for r in part), reverse=True)[:top_k]
    assert merged == b"".join(expected)
