"""Strategies that choose the shards to which a query is sent."""

from __future__ import annotations

from collections.abc import Callable

from ...util.hashing import stable_hash
from ...util.registry import Registry

Route = Callable[[str, int], frozenset[int]]
"""Chooses the shards for a key, given the number of shards in the snapshot."""


routes: Registry[Route] = Registry("route")


@routes.register("all")
def to_all_shards(key: str, shard_count: int) -> frozenset[int]:
    """Choose every shard."""
    return frozenset(range(shard_count))


@routes.register("key")
def to_shard_of_key(key: str, shard_count: int) -> frozenset[int]:
    """Choose the one shard that holds *key*."""
    return frozenset({shard_of_key(key, shard_count)})


def shard_of_key(key: str, shard_count: int) -> int:
    """Return the shard that holds *key*: its stable hash modulo the number of shards."""
    return stable_hash(key) % shard_count
