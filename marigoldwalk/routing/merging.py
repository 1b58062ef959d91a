"""Merging of the records returned by many shards."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

RECORD_BYTES = 16
"""Length of a record; a shorter remainder at the end of a part is ignored."""


def top_records(parts: Iterable[bytes], top_k: int) -> bytes:
    """Return the *top_k* greatest records of *parts* in descending order, including duplicates."""
    return b"".join(nlargest(top_k, _records(parts)))


def _records(parts: Iterable[bytes]) -> Iterator[bytes]:
    for part in parts:
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES):
            yield part[start : start + RECORD_BYTES]
