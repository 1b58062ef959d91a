"""The deployments that the bench starts, and a wider one of its own."""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import exp
from typing import TYPE_CHECKING

from standins.behaviour import Behaviour
from standins.deployments import DEPLOYMENTS, IndexFleet

if TYPE_CHECKING:
    from marigoldwalk.config.documents import GroupModel

WIDE = "kiosks-140"
"""The name of the deployment whose queries go to 140 services."""
WIDE_SERVICES_COUNT = 140

SERVICE_MS = 60.0
"""Median time of a run, long enough that the servers' slots and not the machine set the limit."""
SERVICE_SIGMA = 0.35
"""Spread of the logarithm of that time."""
CONNECT_MS = 6.0
STRAGGLER_FACTOR = 10.0


@dataclass(slots=True)
class Pace:
    """How many times longer than planned runs and deadlines are.

    On a slow or busy machine, a pace above 1 keeps the machine from setting the limits.
    """

    ratio: float = 1.0


pace = Pace()

DEPLOYMENTS[WIDE] = replace(
    DEPLOYMENTS["budapest"],
    fleets=(IndexFleet("kiosks", WIDE_SERVICES_COUNT, replicas=2, slots=2, connections=25),),
    groups=tuple(
        group for group in DEPLOYMENTS["budapest"].groups if group.select == "index=kiosks"
    ),
)


def set_pace(ratio: float) -> None:
    """Make runs and deadlines of all deployments *ratio* times longer, once in a process."""
    pace.ratio = ratio
    for name, deployment in DEPLOYMENTS.items():
        groups = tuple(_stretched(group, ratio) for group in deployment.groups)
        DEPLOYMENTS[name] = replace(deployment, groups=groups)


def _stretched(group: GroupModel, ratio: float) -> GroupModel:
    return group.model_copy(update={"deadline_ms": round(group.deadline_ms * ratio)})


def behaviour() -> Behaviour:
    """Return how the stand-ins for backend servers behave."""
    return Behaviour(
        service_ms=SERVICE_MS * pace.ratio,
        service_sigma=SERVICE_SIGMA,
        connect_ms=CONNECT_MS,
        straggler_factor=STRAGGLER_FACTOR,
    )


def group_of(deployment: str, name: str) -> GroupModel:
    """Return a group of a deployment; raises ``KeyError``."""
    return {group.name: group for group in DEPLOYMENTS[deployment].groups}[name]


def index_of(deployment: str, group: str) -> str:
    """Return the index that a group's selector names."""
    return group_of(deployment, group).select.removeprefix("index=")


def capacity_qps(deployment: str, group: str) -> float:
    """Return the queries a second over all services that the servers' slots can carry.

    Each service has as many slots as its replicas hold together, and a run takes the mean of its
    lognormal time.
    """
    index = index_of(deployment, group)
    fleet = next(fleet for fleet in DEPLOYMENTS[deployment].fleets if fleet.index == index)
    return fleet.replicas * fleet.slots / mean_service_s()


def mean_service_s() -> float:
    """Return the mean time of a run, in seconds."""
    return SERVICE_MS * pace.ratio / 1000 * exp(SERVICE_SIGMA**2 / 2)
