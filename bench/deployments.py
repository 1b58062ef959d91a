"""Deployments used by the benchmarks, including a wide one that is defined only here."""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import exp
from typing import TYPE_CHECKING

from standins.behaviour import Behaviour
from standins.deployments import DEPLOYMENTS, IndexFleet

if TYPE_CHECKING:
    from marigoldwalk.config.documents import GroupModel

WIDE = "kiosks-140"
"""Name of the deployment whose queries go to 140 services."""
WIDE_SERVICES_COUNT = 140

SERVICE_MS = 60.0
"""Median service time.

It is long enough that the servers' slots are the bottleneck, not the machine's CPU.
"""
SERVICE_SIGMA = 0.35
"""Standard deviation of the logarithm of the service time."""
CONNECT_MS = 6.0
STRAGGLER_FACTOR = 10.0


@dataclass(slots=True)
class TimeScale:
    """Factor by which service times and deadlines are lengthened.

    A ratio above 1 keeps a slow or busy machine from becoming the bottleneck.
    """

    ratio: float = 1.0


time_scale = TimeScale()

DEPLOYMENTS[WIDE] = replace(
    DEPLOYMENTS["budapest"],
    fleets=(IndexFleet("kiosks", WIDE_SERVICES_COUNT, replicas=2, slots=2, connections=25),),
    groups=tuple(
        group for group in DEPLOYMENTS["budapest"].groups if group.select == "index=kiosks"
    ),
)


def set_time_scale(ratio: float) -> None:
    """Lengthen service times and deadlines by the factor *ratio*.

    May be called only once per process, since it scales the deadlines in place.
    """
    time_scale.ratio = ratio
    for name, deployment in DEPLOYMENTS.items():
        groups = tuple(_with_scaled_deadline(group, ratio) for group in deployment.groups)
        DEPLOYMENTS[name] = replace(deployment, groups=groups)


def _with_scaled_deadline(group: GroupModel, ratio: float) -> GroupModel:
    return group.model_copy(update={"deadline_ms": round(group.deadline_ms * ratio)})


def behaviour() -> Behaviour:
    """Return the behaviour of the stand-in servers."""
    return Behaviour(
        service_ms=SERVICE_MS * time_scale.ratio,
        service_sigma=SERVICE_SIGMA,
        connect_ms=CONNECT_MS,
        straggler_factor=STRAGGLER_FACTOR,
    )


def group_of(deployment: str, name: str) -> GroupModel:
    """Return a group of a deployment; raise ``KeyError`` if there is none of that name."""
    return {group.name: group for group in DEPLOYMENTS[deployment].groups}[name]


def index_of(deployment: str, group: str) -> str:
    """Return the index that a group selects."""
    return group_of(deployment, group).select.removeprefix("index=")


def capacity_qps(deployment: str, group: str) -> float:
    """Return the rate of queries to all services that the servers' slots can sustain.

    It is the number of slots of all replicas of one service, divided by the mean service time.
    """
    index = index_of(deployment, group)
    fleet = next(fleet for fleet in DEPLOYMENTS[deployment].fleets if fleet.index == index)
    return fleet.replicas * fleet.slots / mean_service_s()


def mean_service_s() -> float:
    """Return the mean of the lognormal service time, in seconds."""
    return SERVICE_MS * time_scale.ratio / 1000 * exp(SERVICE_SIGMA**2 / 2)
