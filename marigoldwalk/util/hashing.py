"""Hashes that are the same on every machine and in every process."""

from __future__ import annotations

from hashlib import blake2b
from heapq import nsmallest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

RendezvousEntry = tuple[int, str]
"""The negated weight of a name, and the name."""

_DIGEST_BYTES = 8

_JUMP_MULTIPLIER = 2862933555777941757
_MASK_64_BITS = (1 << 64) - 1


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of *parts* that does not depend on the process."""
    digest = blake2b("\x00".join(parts).encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def rendezvous_order(key: str, names: Iterable[str], count: int | None = None) -> list[str]:
    """Return *names* in the order of rendezvous hashing (highest random weight) of *key*.

    The weight of a name is ``stable_hash(key, name)``; names of equal weight are sorted by name.
    With *count*, return only the first *count* names.
    """
    entries = rendezvous_entries(key, names)
    ordered = sorted(entries) if count is None else nsmallest(count, entries)
    return [name for _, name in ordered]


def rendezvous_entries(key: str, names: Iterable[str]) -> Iterator[RendezvousEntry]:
    """Return an entry for each name; sorted entries are in rendezvous order for *key*."""
    start = blake2b(f"{key}\x00".encode(), digest_size=_DIGEST_BYTES)
    for name in names:
        digest = start.copy()
        digest.update(name.encode())
        yield -int.from_bytes(digest.digest(), "big"), name


def content_fingerprint(group: str, body: str) -> str:
    """Return a short fingerprint of a request's content."""
    return blake2b(f"{group}\x00{body}".encode(), digest_size=_DIGEST_BYTES).hexdigest()


def jump_hash(key: int, buckets_count: int) -> int:
    """Return the bucket of a 64-bit *key* among *buckets_count* buckets.

    When a bucket is added, keys move only into the new bucket. See Lamping and Veach, "A Fast,
    Minimal Memory, Consistent Hash Algorithm", 2014.
    """
    bucket = -1
    next_bucket = 0
    while next_bucket < buckets_count:
        bucket = next_bucket
        key = (key * _JUMP_MULTIPLIER + 1) & _MASK_64_BITS
        next_bucket = int((bucket + 1) * (1 << 31) / ((key >> 33) + 1))
    return bucket
