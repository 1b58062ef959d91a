"""Models of the published configuration document.

These check each field by itself. What needs several fields at once, such as the servers that a
selector takes, is checked in :mod:`marigoldwalk.config.selection`.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, StringConstraints

from .addresses import ServerAddress  # noqa: TC001 (read by pydantic)
from .validation import Name, StrictModel

MAX_REVISION = 2**53
"""Largest revision; JSON readers keep larger numbers inexactly."""
MAX_SELECTOR_LENGTH = 1000

Selector = Annotated[str, StringConstraints(max_length=MAX_SELECTOR_LENGTH)]
"""A selector's text; see :mod:`marigoldwalk.config.selectors`."""

Route = Literal["all", "key"]
"""Whether a query goes to all shards or to the shard of its key."""

Coverage = Literal["wait", "diminishing"]
"""Whether a query waits for late shards, or answers when waiting no longer pays."""

Merge = Literal["top", "nearest", "sum", "one"]
"""How the hits of several shards become one list."""


class ServerModel(StrictModel):
    """A backend server. ``connections`` is the most that it accepts at once."""

    name: Name
    address: ServerAddress
    domain: Name
    index: Name
    service: Name
    slots: int = Field(ge=1, le=1024)
    connections: int = Field(ge=1, le=65_535)
    labels: dict[Name, Name] = Field(default_factory=dict)


class GroupModel(StrictModel):
    """A group of servers and how queries to it are treated.

    ``repeatable`` has no default: whether work may run twice is for the operator to say.
    """

    name: Name
    select: Selector
    priority: int = Field(ge=0, le=9)
    deadline_ms: int = Field(ge=10, le=60_000)
    repeatable: bool
    merge: Merge
    route: Route = "all"
    coverage: Coverage = "wait"
    limit: int = Field(default=10, ge=1, le=1000)
    min_coverage: float = Field(default=0.0, ge=0.0, le=1.0, allow_inf_nan=False)
    canary: bool = False


class ExclusionModel(StrictModel):
    """Takes the selected servers out of service; ``reason`` is for people."""

    select: Selector
    reason: str = Field(min_length=1, max_length=500)


class Document(StrictModel):
    """A whole published document.

    ``block_services`` neighbouring services and ``block_replicas`` servers of each share a home
    daemon.
    """

    revision: int = Field(ge=1, le=MAX_REVISION)
    servers: list[ServerModel]
    groups: list[GroupModel]
    exclusions: list[ExclusionModel] = Field(default_factory=list)
    block_services: int = Field(default=6, ge=1, le=64)
    block_replicas: int = Field(default=2, ge=1, le=16)
