"""Random query bodies for each group."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from marigoldwalk.util.registry import Registry
from standins.data import CITY_LATITUDE_DEG, CITY_LONGITUDE_DEG, CITY_RADIUS_DEG, MODELS

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    Body = dict[str, Any]

bodies: Registry[Callable[[random.Random], Body]] = Registry("body")

_PRECEDENT_WORDS = ("muro", "agua", "ruido", "reparación", "horario", "tanque", "cisterna", "junio")


@bodies.register("kiosk-finder")
@bodies.register("technician-dispatch")
def nearest_kiosks(rng: random.Random) -> Body:
    """Return a query for the kiosks near a random position."""
    return {
        "lat": round(CITY_LATITUDE_DEG + rng.uniform(-CITY_RADIUS_DEG, CITY_RADIUS_DEG), 5),
        "lon": round(CITY_LONGITUDE_DEG + rng.uniform(-CITY_RADIUS_DEG, CITY_RADIUS_DEG), 5),
    }


@bodies.register("stock")
def stock_counts(rng: random.Random) -> Body:
    """Return a query for the stock of two random models."""
    return {"op": "stock", "models": sorted(rng.sample(MODELS, 2))}


@bodies.register("session")
@bodies.register("case-desk")
def precedents(rng: random.Random) -> Body:
    """Return a query for the agreements that contain any of two random words."""
    return {"text": " ".join(rng.sample(_PRECEDENT_WORDS, 2))}
