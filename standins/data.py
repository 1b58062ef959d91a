"""Seeded sample data for both users' deployments, split into shards and snapshots."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from marigoldwalk.util.hashing import stable_hash
from marigoldwalk.util.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

CHANGE_PERIOD_COUNT = 6
"""Average number of snapshots between two changes of a record."""
CHANGE_LOOKBACK_COUNT = 24
"""Number of snapshots that are searched for the latest change of a record."""

CITY_LATITUDE_DEG = 47.4979
CITY_LONGITUDE_DEG = 19.0402
CITY_RADIUS_DEG = 0.12

MODELS = ("PB-5000", "PB-10000", "PB-10000C", "PB-20000", "PB-20000S")

_MATTERS = {
    "muro": ("muro medianero agrietado", "muro de lindero desplazado", "cerramiento sin permiso"),
    "ruido": ("ruido nocturno de fiestas", "ruido de taller mecánico", "música alta los domingos"),
    "cisterna": (
        "cisterna compartida vacía",
        "tanque de agua con fuga",
        "turno de agua roto",
    ),
}
_REMEDIES = (
    "pagarán la reparación a medias",
    "respetarán el horario acordado",
    "limpiarán el tanque cada tres meses",
    "reconstruirán el muro antes de junio",
    "instalarán un medidor de agua común",
    "avisarán con dos días de anticipación",
)
_FAMILIES = ("Quishpe", "Andrade", "Chiluisa", "Morales", "Tipán", "Villacís", "Guamán", "Proaño")
_DISTRICTS = ("Cotocollao", "La Floresta", "Chillogallo", "Guápulo", "Conocoto", "Calderón")
_STREETS = ("Váci út", "Üllői út", "Rákóczi út", "Andrássy út", "Bartók Béla út", "Fő utca")
_OFFERS = ("hétvégi kedvezmény", "második óra ingyen", "diák bérlet", "reggeli akció", "hűségpont")

Body = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Record:
    """One record of an index; a hit on it returns ``body``."""

    key: str
    body: Body


@dataclass(frozen=True, slots=True)
class RecordKind:
    """How the records of one index are generated.

    ``fixed`` generates the part of a record that is the same in all snapshots, ``varying`` the
    part that depends on the record's version. Keys start with ``prefix``.
    """

    prefix: str
    count: int
    fixed: Callable[[random.Random], Body]
    varying: Callable[[random.Random, int], Body]


record_kinds: Registry[RecordKind] = Registry("index")


def _agreement(rng: random.Random) -> Body:
    matter = rng.choice(sorted(_MATTERS))
    families = rng.sample(_FAMILIES, 2)
    district = rng.choice(_DISTRICTS)
    problem = rng.choice(_MATTERS[matter])
    return {
        "matter": matter,
        "year": rng.randint(2009, 2025),
        "parties": families,
        "district": district,
        "problem": problem,
    }


def _agreement_text(rng: random.Random, version: int) -> Body:
    remedies = rng.sample(_REMEDIES, 2)
    return {"text": f"Las familias {remedies[0]} y {remedies[1]}.", "edition": version}


def _kiosk(rng: random.Random) -> Body:
    return {
        "street": f"{rng.choice(_STREETS)} {rng.randint(1, 190)}",
        "lat": round(CITY_LATITUDE_DEG + rng.uniform(-CITY_RADIUS_DEG, CITY_RADIUS_DEG), 6),
        "lon": round(CITY_LONGITUDE_DEG + rng.uniform(-CITY_RADIUS_DEG, CITY_RADIUS_DEG), 6),
    }


def _kiosk_state(rng: random.Random, version: int) -> Body:
    stock = {model: rng.randint(0, 9) for model in MODELS}
    return {"working": rng.random() < 0.9, "stock": stock, "edition": version}


def _case_file(rng: random.Random) -> Body:
    return {"family": rng.choice(_FAMILIES), "district": rng.choice(_DISTRICTS)}


def _case_state(rng: random.Random, version: int) -> Body:
    state = rng.choice(("abierto", "citado", "en sesión", "acordado"))
    return {"state": state, "edition": version}


def _visit(rng: random.Random) -> Body:
    matter = rng.choice(sorted(_MATTERS))
    return {"family": rng.choice(_FAMILIES), "problem": rng.choice(_MATTERS[matter])}


def _visit_state(rng: random.Random, version: int) -> Body:
    remedy = rng.choice(_REMEDIES)
    return {"text": f"Visita: {remedy}.", "kept": rng.random() < 0.8, "edition": version}


def _owner(rng: random.Random) -> Body:
    return {"owner": f"Franchise {rng.randint(100, 999)}", "kiosks": rng.randint(1, 12)}


def _settlement(rng: random.Random, version: int) -> Body:
    return {"amount_huf": rng.randint(20_000, 900_000), "edition": version}


def _promotion(rng: random.Random) -> Body:
    return {"problem": rng.choice(_OFFERS), "street": rng.choice(_STREETS)}


def _promotion_text(rng: random.Random, version: int) -> Body:
    text = f"{rng.choice(_OFFERS)}, {rng.randint(5, 40)} százalék"
    return {"text": text, "edition": version}


for _index, _kind in {
    "precedents": RecordKind("a", 1500, _agreement, _agreement_text),
    "case-files": RecordKind("c", 400, _case_file, _case_state),
    "visits": RecordKind("v", 200, _visit, _visit_state),
    "kiosks": RecordKind("k", 900, _kiosk, _kiosk_state),
    "settlements": RecordKind("o", 240, _owner, _settlement),
    "promotions": RecordKind("p", 120, _promotion, _promotion_text),
}.items():
    record_kinds.register(_index)(_kind)


def shard_of(key: str, shard_count: int) -> int:
    """Return the shard that contains *key* if there are *shard_count* shards."""
    return stable_hash(key) % shard_count


@dataclass(frozen=True, slots=True)
class Layout:
    """A snapshot of an index, and the number of shards that it is split into."""

    index: str
    snapshot: int
    shard_count: int


class Dataset:
    """All records of all indexes, generated from a seed on first use.

    ::

        data = Dataset(seed=1)
        data.shard(Layout("kiosks", snapshot=3, shard_count=50), 17)
    """

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self._records: dict[tuple[str, int], tuple[Record, ...]] = {}
        self._shards: dict[Layout, tuple[tuple[Record, ...], ...]] = {}

    def records(self, index: str, snapshot: int) -> tuple[Record, ...]:
        """Return every record of one snapshot, ordered by key; raises ``KeyError``."""
        cached = self._records.get((index, snapshot))
        if cached is None:
            kind = record_kinds.get(index)
            keys = [f"{kind.prefix}-{number:04d}" for number in range(1, kind.count + 1)]
            cached = tuple(self._record(index, kind, key, snapshot) for key in keys)
            self._records[index, snapshot] = cached
        return cached

    def shards(self, layout: Layout) -> tuple[tuple[Record, ...], ...]:
        """Return the records of each shard of *layout*."""
        cached = self._shards.get(layout)
        if cached is None:
            parts: list[list[Record]] = [[] for _ in range(layout.shard_count)]
            for record in self.records(layout.index, layout.snapshot):
                parts[shard_of(record.key, layout.shard_count)].append(record)
            cached = tuple(map(tuple, parts))
            self._shards[layout] = cached
        return cached

    def shard(self, layout: Layout, shard: int) -> tuple[Record, ...]:
        """Return the records of one shard of *layout*."""
        return self.shards(layout)[shard]

    def _record(self, index: str, kind: RecordKind, key: str, snapshot: int) -> Record:
        version = self._version(index, key, snapshot)
        fixed = kind.fixed(self._rng(index, key, "fixed"))
        varying = kind.varying(self._rng(index, key, str(version)), version)
        # Every body names its snapshot, so that a merge across snapshots is detected.
        return Record(key, {**fixed, **varying, "snapshot": snapshot})

    def _version(self, index: str, key: str, snapshot: int) -> int:
        """Return the latest snapshot up to *snapshot* that changed the record, or 0."""
        for number in range(snapshot, max(0, snapshot - CHANGE_LOOKBACK_COUNT), -1):
            if stable_hash(str(self.seed), index, key, str(number)) % CHANGE_PERIOD_COUNT == 0:
                return number
        return 0

    def _rng(self, index: str, key: str, part: str) -> random.Random:
        return random.Random(stable_hash(str(self.seed), index, key, part))
