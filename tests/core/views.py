"""Small test configurations, and the data that their servers hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldwalk.config.acceptance import Problem, Rejected
from marigoldwalk.config.view import Address, Block, Group, Server, View
from marigoldwalk.core.peer_messages import Hit, Holding
from marigoldwalk.core.strategies.merging import merges
from marigoldwalk.util.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldwalk.config.acceptance import Verdict

SERVICES = 4
REPLICAS = 2
SLOTS = 2
BLOCK_SERVICES = 2
DOMAINS = ("dom-a", "dom-b", "dom-c")
DOCUMENTS = 40
"""Number of documents in the index."""


def make_view(
    revision: int = 1,
    *,
    variant: str = "",
    excluded: Iterable[str] = (),
    coverage: str = "wait",
    canary: bool = False,
    deadline_ms: int = 350,
    services: int = SERVICES,
) -> View:
    """Return a configuration with two repeatable groups and one that is not, over all servers."""
    servers = tuple(
        Server(
            name=f"s-{service}-{replica}",
            address=Address("127.0.0.1", 9000 + service * REPLICAS + replica),
            domain=DOMAINS[(service + replica) % len(DOMAINS)],
            index="main",
            service=f"service-{service}",
            slots=SLOTS,
            connections=25,
        )
        for service in range(services)
        for replica in range(REPLICAS)
    )
    names = [server.name for server in servers]
    size = BLOCK_SERVICES * REPLICAS
    blocks = tuple(
        Block(f"main/{start // size}", "main", tuple(names[start : start + size]))
        for start in range(0, len(names), size)
    )
    common = {
        "index": "main",
        "select": "index=main",
        "coverage": coverage,
        "merge": "top",
        "limit": 10,
        "min_coverage": 0.0,
        "servers": frozenset(names),
    }
    groups = (
        Group("search", priority=1, deadline_ms=deadline_ms, repeatable=True, route="all",
              canary=canary, **common),
        Group("bulk", priority=3, deadline_ms=deadline_ms, repeatable=True, route="all",
              canary=canary, **common),
        Group("record", priority=0, deadline_ms=deadline_ms, repeatable=False, route="key",
              canary=False, **common),
    )  # fmt: skip
    digest = f"{revision}{variant}"
    return View(revision, digest, servers, groups, blocks, frozenset(excluded))


class FakeDocuments:
    """Fake configuration documents: maps each text to the view that accepting it yields."""

    def __init__(self) -> None:
        self._views: dict[str, View] = {}

    def add(self, view: View) -> str:
        """Return the text of a new document that is accepted as *view*."""
        text = f"document {view.revision} {view.digest}"
        self._views[text] = view
        return text

    def accept(self, text: str) -> Verdict:
        """Accept the texts that :meth:`add` returned, and reject all others."""
        view = self._views.get(text)
        return view or Rejected((Problem("document", 1, "not understood"),))


def shards_of_service(service: int, snapshot: int, services: int = SERVICES) -> Holding:
    """Return the shards of a snapshot on a service; even snapshots have twice as many shards."""
    parts = 2 if snapshot % 2 == 0 else 1
    shards = tuple(service * parts + part for part in range(parts))
    return Holding(snapshot, services * parts, shards)


def hits_of_shards(snapshot: int, shard_count: int, shards: Iterable[int]) -> list[Hit]:
    """Return every document of *shards*, computed directly."""
    wanted = set(shards)
    return [
        Hit(f"d-{number:02}", float(stable_hash(str(number), str(snapshot)) % 997), str(snapshot))
        for number in range(DOCUMENTS)
        if stable_hash(f"d-{number:02}") % shard_count in wanted
    ]


def best_hits(snapshot: int, shard_count: int, shards: Iterable[int]) -> tuple[Hit, ...]:
    """Return the expected merged answer of *shards*."""
    return merges.get("top")(hits_of_shards(snapshot, shard_count, shards), 10)
