"""Published configuration in the form that the core uses."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Server:
    """A backend server: one replica of a service, inside a failure domain."""

    name: str
    address: Address
    domain: str
    index: str
    service: str
    slots: int
    connections: int
    labels: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Group:
    """Servers chosen by a selector, and the handling of queries to them.

    ``priority`` counts from 0, the highest. ``route``, ``coverage`` and ``merge`` name registered
    strategies. ``limit`` is the maximum number of hits in an answer. ``servers`` contains the names
    of the servers that the selector matches, including excluded ones.
    """

    name: str
    index: str
    select: str
    priority: int
    deadline_ms: int
    repeatable: bool
    route: str
    coverage: str
    merge: str
    limit: int
    min_coverage: float
    canary: bool
    servers: frozenset[str]


@dataclass(frozen=True, slots=True)
class Block:
    """Servers of one index that share a home daemon.

    A block contains a few replicas of each of several services, so that the home can choose between
    replicas and a query over every shard involves few homes.
    """

    name: str
    index: str
    servers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReplicaSet:
    """The servers of one service within one block; any of them can answer for its shards."""

    name: str
    block: str
    servers: tuple[Server, ...]


@dataclass(frozen=True)
class View:
    """An accepted configuration document, with values that are derived from it alone."""

    revision: int
    digest: str
    servers: tuple[Server, ...]
    groups: tuple[Group, ...]
    blocks: tuple[Block, ...]
    excluded: frozenset[str] = field(default_factory=frozenset)
    """Names of the servers that exclusions take out of service."""

    @cached_property
    def server_by_name(self) -> dict[str, Server]:
        """Servers by name."""
        return {server.name: server for server in self.servers}

    @cached_property
    def group_by_name(self) -> dict[str, Group]:
        """Groups by name."""
        return {group.name: group for group in self.groups}

    @cached_property
    def block_by_name(self) -> dict[str, Block]:
        """Blocks by name."""
        return {block.name: block for block in self.blocks}

    @cached_property
    def block_of_server(self) -> dict[str, Block]:
        """The block of each server."""
        return {name: block for block in self.blocks for name in block.servers}

    @cached_property
    def blocks_of_index(self) -> dict[str, tuple[Block, ...]]:
        """The blocks of each index, in the order of ``blocks``."""
        indexes: dict[str, list[Block]] = {}
        for block in self.blocks:
            indexes.setdefault(block.index, []).append(block)
        return {index: tuple(blocks) for index, blocks in indexes.items()}

    @cached_property
    def replica_sets_of_block(self) -> dict[str, tuple[ReplicaSet, ...]]:
        """The replica sets of each block."""
        return {block.name: self._replica_sets(block) for block in self.blocks}

    @cached_property
    def replica_set_by_name(self) -> dict[str, ReplicaSet]:
        """Replica sets by name."""
        return {
            replicas.name: replicas
            for block_replicas in self.replica_sets_of_block.values()
            for replicas in block_replicas
        }

    @cached_property
    def replica_set_of_server(self) -> dict[str, str]:
        """The name of each server's replica set."""
        return {
            server.name: replicas.name
            for replicas in self.replica_set_by_name.values()
            for server in replicas.servers
        }

    @cached_property
    def longest_deadline_s(self) -> float:
        """The longest deadline of all groups, in seconds."""
        return max((group.deadline_ms / 1000 for group in self.groups), default=0.0)

    def _replica_sets(self, block: Block) -> tuple[ReplicaSet, ...]:
        services: dict[str, list[Server]] = {}
        for name in block.servers:
            server = self.server_by_name[name]
            services.setdefault(server.service, []).append(server)
        return tuple(
            ReplicaSet(f"{block.name}/{service}", block.name, tuple(servers))
            for service, servers in services.items()
        )
