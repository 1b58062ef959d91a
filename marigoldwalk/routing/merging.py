"""Merging of the records of many shards."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

RECORD_BYTES = 16
"""Length of a record; a shorter remainder of a part is none."""


def greatest_records(parts: Iterable[bytes], top_k: int) -> bytes:
    """Return the greatest *top_k* records of *parts*, greatest first; equal ones all count."""
    return b"".join(nlargest(top_k, _records(parts)))


def _records(parts: Iterable[bytes]) -> Iterator[bytes]:
    for part in parts:
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES):
            yield part[start : start + RECORD_BYTES]
