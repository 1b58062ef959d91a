"""Partition of an index's backend servers into blocks."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ..util.hashing import jump_hash, stable_hash
from .view import Block

if TYPE_CHECKING:
    from .view import Server


def partition_into_blocks(
    servers: tuple[Server, ...], block_services: int, block_replicas: int
) -> tuple[Block, ...]:
    """Partition *servers* into blocks; each server is in exactly one block.

    Consistent hashing assigns the services of an index to buckets of *block_services* services on
    average, and the servers of each service are split into chunks of *block_replicas*. The block
    ``index/k/n`` contains the chunks numbered ``k`` of the services in bucket ``n``. Adding or
    removing a service moves no other service, except for the few that move when the number of
    buckets changes.
    """
    members: dict[tuple[str, int, int], list[str]] = defaultdict(list)
    for index, services in sorted(_names_by_service(servers).items()):
        buckets_count = -(-len(services) // block_services)
        for service in sorted(services):
            bucket = jump_hash(stable_hash(service), buckets_count)
            for position, name in enumerate(sorted(services[service])):
                members[index, position // block_replicas, bucket].append(name)
    return tuple(
        Block(f"{index}/{chunk}/{bucket}", index, tuple(names))
        for (index, chunk, bucket), names in sorted(members.items())
    )


def _names_by_service(servers: tuple[Server, ...]) -> dict[str, dict[str, list[str]]]:
    indexes: dict[str, dict[str, list[str]]] = defaultdict(lambda: defaultdict(list))
    for server in servers:
        indexes[server.index][server.service].append(server.name)
    return indexes
