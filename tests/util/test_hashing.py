from __future__ import annotations

from marigoldwalk.util.hashing import rendezvous_order, stable_hash


def test_hash_does_not_depend_on_the_process():
    assert stable_hash("block", "m-1") == 10405867081978395627


def test_removing_a_name_moves_only_the_keys_of_that_name():
    names = [f"m-{number}" for number in range(9)]
    remaining = [name for name in names if name != "m-4"]
    for key in map(str, range(200)):
        before = rendezvous_order(key, names)[0]
        if before != "m-4":
            assert rendezvous_order(key, remaining)[0] == before


def test_rendezvous_order_is_by_descending_weight():
    names = [f"m-{number}" for number in range(30)]
    by_weight = sorted(names, key=lambda name: (-stable_hash("block", name), name))
    assert rendezvous_order("block", names) == by_weight
    assert rendezvous_order("block", reversed(names), 5) == by_weight[:5]
