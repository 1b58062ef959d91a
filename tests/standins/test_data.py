from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.data import Dataset, Layout, record_kinds, shard_of

DATA = Dataset(seed=3)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(index=st.sampled_from(record_kinds.names()), shard_count=st.integers(1, 200))
def test_each_record_is_in_exactly_the_shard_of_its_key(index, shard_count):
    shards = DATA.shards(Layout(index, 2, shard_count))
    assert len(shards) == shard_count
    for number, shard in enumerate(shards):
        assert all(shard_of(record.key, shard_count) == number for record in shard)
    found = sorted((record for shard in shards for record in shard), key=lambda record: record.key)
    assert tuple(found) == DATA.records(index, 2)


def test_same_seed_gives_same_data():
    assert Dataset(seed=3).records("kiosks", 4) == DATA.records("kiosks", 4)
    assert Dataset(seed=4).records("kiosks", 4) != DATA.records("kiosks", 4)


@pytest.mark.parametrize("index", record_kinds.names())
def test_new_snapshot_changes_some_records_and_is_named_in_all(index):
    before = {record.key: record.body for record in DATA.records(index, 1)}
    after = {record.key: record.body for record in DATA.records(index, 2)}
    changed = [key for key in before if before[key]["edition"] != after[key]["edition"]]
    assert 0 < len(changed) < len(before)
    assert all(body["snapshot"] == 2 for body in after.values())
