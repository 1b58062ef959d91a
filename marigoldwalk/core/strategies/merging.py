"""Strategies that merge the hits of several shards into one result.

Every strategy is associative and commutative, up to the order of its result, so that each home can
merge the hits of its block before the entry daemon merges the replies of the homes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ...util.registry import Registry
from ..peer_messages import Hit

Merge = Callable[[Iterable[Hit], int], tuple[Hit, ...]]
"""Merges hits into one result; the second argument is the maximum number of hits."""


merges: Registry[Merge] = Registry("merge")


@merges.register("top")
def highest_scores(hits: Iterable[Hit], limit: int) -> tuple[Hit, ...]:
    """Keep the hits with the highest scores; ties are ordered by key."""
    return tuple(sorted(hits, key=lambda hit: (-hit.score, hit.key))[:limit])


@merges.register("nearest")
def lowest_scores(hits: Iterable[Hit], limit: int) -> tuple[Hit, ...]:
    """Keep the hits with the lowest scores, which are distances; ties are ordered by key."""
    return tuple(sorted(hits, key=lambda hit: (hit.score, hit.key))[:limit])


@merges.register("sum")
def sums_by_key(hits: Iterable[Hit], limit: int) -> tuple[Hit, ...]:
    """Add up the scores of each key, ignoring the limit: a dropped key would falsify later sums."""
    totals: dict[str, Hit] = {}
    for hit in hits:
        known = totals.get(hit.key)
        score = hit.score + (known.score if known else 0.0)
        totals[hit.key] = Hit(hit.key, score, known.body if known else hit.body)
    return tuple(totals[key] for key in sorted(totals))


@merges.register("one")
def first_by_key(hits: Iterable[Hit], limit: int) -> tuple[Hit, ...]:
    """Keep only the first hit by key."""
    return tuple(sorted(hits, key=lambda hit: hit.key)[:1])
