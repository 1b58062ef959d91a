"""Search operations of backend servers, and direct computation of the expected answers."""

from __future__ import annotations

import math
import unicodedata
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING, Any

from marigoldwalk.util.hashing import stable_hash
from marigoldwalk.util.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from .data import Body, Dataset, Layout, Record

EARTH_RADIUS_M = 6_371_000.0


@dataclass(frozen=True, slots=True)
class Hit:
    """One result of a search."""

    key: str
    score: float
    body: Body


class InvalidBody(ValueError):
    """A request body that no operation of its index accepts."""


@dataclass(frozen=True, slots=True)
class Operation:
    """How to search records, and how to merge the hits of several shards."""

    search: Callable[[Sequence[Record], Body], Iterable[Hit]]
    merge: Callable[[Iterable[Hit]], list[Hit]]


operations: Registry[Operation] = Registry("operation")

DEFAULT_OPERATIONS = {
    "precedents": "text",
    "visits": "text",
    "kiosks": "nearest",
    "promotions": "text",
}
"""The operation of each index if a body names none; ``get`` for all other indexes."""


def merge_top(hits: Iterable[Hit]) -> list[Hit]:
    """Sort hits by descending score, then by key."""
    return sorted(hits, key=lambda hit: (-hit.score, hit.key))


def merge_nearest(hits: Iterable[Hit]) -> list[Hit]:
    """Sort hits by ascending score, then by key."""
    return sorted(hits, key=lambda hit: (hit.score, hit.key))


def merge_sum(hits: Iterable[Hit]) -> list[Hit]:
    """Sum the scores of each key and sort the sums by key."""
    sums: dict[str, float] = {}
    for hit in hits:
        sums[hit.key] = sums.get(hit.key, 0.0) + hit.score
    return [Hit(key, score, {}) for key, score in sorted(sums.items())]


def merge_one(hits: Iterable[Hit]) -> list[Hit]:
    """Return only the hit with the lowest key."""
    return sorted(hits, key=lambda hit: hit.key)[:1]


@lru_cache(maxsize=20_000)
def terms(text: str) -> tuple[str, ...]:
    """Split *text* into case-folded words without accents."""
    plain = unicodedata.normalize("NFKD", text.casefold())
    letters = "".join(char for char in plain if not unicodedata.combining(char))
    return tuple(letters.replace(".", " ").replace(",", " ").split())


def distance_m(lat: float, lon: float, other_lat: float, other_lon: float) -> float:
    """Return the great-circle distance between two positions, in whole metres."""
    phi, other_phi = math.radians(lat), math.radians(other_lat)
    half_lat = math.sin((other_phi - phi) / 2) ** 2
    half_lon = math.sin(math.radians(other_lon - lon) / 2) ** 2
    chord = half_lat + math.cos(phi) * math.cos(other_phi) * half_lon
    return float(round(2 * EARTH_RADIUS_M * math.asin(math.sqrt(chord))))


def _text(records: Sequence[Record], body: Body) -> Iterable[Hit]:
    wanted = set(terms(_field(body, "text", str)))
    for record in records:
        found = terms(f"{record.body['problem']} {record.body['text']}")
        score = sum(1 for term in found if term in wanted)
        if score:
            yield Hit(record.key, float(score), record.body)


def _nearest(records: Sequence[Record], body: Body) -> Iterable[Hit]:
    lat, lon = _field(body, "lat", float), _field(body, "lon", float)
    for record in records:
        if record.body["working"]:
            distance = distance_m(lat, lon, record.body["lat"], record.body["lon"])
            yield Hit(record.key, distance, record.body)


def _stock(records: Sequence[Record], body: Body) -> Iterable[Hit]:
    wanted = body.get("models")
    for record in records:
        for model, count in record.body["stock"].items():
            if wanted is None or model in wanted:
                yield Hit(model, float(count), {})


def _get(records: Sequence[Record], body: Body) -> Iterable[Hit]:
    key = _field(body, "key", str)
    return [Hit(record.key, 1.0, record.body) for record in records if record.key == key]


def _record(records: Sequence[Record], body: Body) -> Iterable[Hit]:
    agreement = _field(body, "agreement", dict)
    receipt = f"r-{stable_hash(repr(sorted(agreement.items()))):016x}"
    return [Hit(receipt, 1.0, {"recorded": agreement})]


for _name, _operation in {
    "text": Operation(_text, merge_top),
    "nearest": Operation(_nearest, merge_nearest),
    "stock": Operation(_stock, merge_sum),
    "get": Operation(_get, merge_one),
    "record": Operation(_record, merge_one),
}.items():
    operations.register(_name)(_operation)


def operation_of(index: str, body: Body) -> Operation:
    """Return the operation that *body* requests of *index*; raises ``InvalidBody``."""
    name = body.get("op", DEFAULT_OPERATIONS.get(index, "get"))
    try:
        return operations.get(name)
    except (KeyError, TypeError) as exc:
        raise InvalidBody(f"unknown operation {name!r}") from exc


def search(index: str, records: Sequence[Record], body: Body, limit: int) -> list[Hit]:
    """Return at most *limit* hits for *body* in the records of some shards.

    A limit of 0 returns all hits. Raises ``InvalidBody`` if the body does not fit the index.
    """
    operation = operation_of(index, body)
    try:
        hits = operation.merge(operation.search(records, body))
    except KeyError as exc:
        raise InvalidBody(f"records of this index have no field {exc}") from exc
    return hits[:limit] if limit else hits


def direct_answer(
    data: Dataset,
    layout: Layout,
    body: Body,
    limit: int,
    shards: Iterable[int] | None = None,
) -> list[Hit]:
    """Compute an answer without any server, over *shards* or, by default, all shards."""
    chosen = range(layout.shard_count) if shards is None else shards
    records = [record for shard in chosen for record in data.shard(layout, shard)]
    if body.get("op") == "record":
        records = []
    return search(layout.index, records, body, limit)


def _field(body: Body, name: str, kind: type) -> Any:
    value = body.get(name)
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind):
        raise InvalidBody(f"field {name!r} must be {kind.__name__}")
    return value
