"""Models of the published configuration document.

The models check each field by itself. :mod:`marigoldwalk.config.selection` checks what involves
several fields, such as the servers that a selector matches.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, StringConstraints

from .addresses import ServerAddress  # noqa: TC001 (read by pydantic)
from .validation import Name, StrictModel

MAX_REVISION = 2**53
"""Largest revision; some JSON parsers cannot represent larger integers exactly."""
MAX_SELECTOR_LENGTH = 1000

Selector = Annotated[str, StringConstraints(max_length=MAX_SELECTOR_LENGTH)]
"""A selector's text; see :mod:`marigoldwalk.config.selectors`."""

Route = Literal["all", "key"]
"""Whether a query goes to all shards or to the shard of its key."""

Coverage = Literal["wait", "diminishing"]
"""Whether a query waits for the last shards until its deadline, or stops waiting earlier."""

Merge = Literal["top", "nearest", "sum", "one"]
"""How the hits of several shards are merged into one list."""


class ServerModel(StrictModel):
    """A backend server. ``connections`` is the maximum number of simultaneous connections."""

    name: Name
    address: ServerAddress
    domain: Name
    index: Name
    service: Name
    slots: int = Field(ge=1, le=1024)
    connections: int = Field(ge=1, le=65_535)
    labels: dict[Name, Name] = Field(default_factory=dict)


class GroupModel(StrictModel):
    """A group of servers and the handling of queries to it.

    ``repeatable`` has no default, because the operator has to decide whether work may run twice.
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
    """Takes the selected servers out of service; ``reason`` is a note for operators."""

    select: Selector
    reason: str = Field(min_length=1, max_length=500)


class Document(StrictModel):
    """A complete published document.

    On average, ``block_services`` services share a home daemon, with up to ``block_replicas``
    servers of each; see :func:`marigoldwalk.config.blocks.partition_into_blocks`.
    """

    revision: int = Field(ge=1, le=MAX_REVISION)
    servers: list[ServerModel]
    groups: list[GroupModel]
    exclusions: list[ExclusionModel] = Field(default_factory=list)
    block_services: int = Field(default=6, ge=1, le=64)
    block_replicas: int = Field(default=2, ge=1, le=16)
