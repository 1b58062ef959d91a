"""Documents of both users' deployments, at the sizes that the users specified.

``python -m standins.deployments`` writes them to the folder ``deployments``. Stand-ins build the
same documents with the addresses of their own listeners::

    text = build_document("budapest", 1, lambda server: addresses[server])
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import yaml

from marigoldwalk.config.documents import GroupModel

if TYPE_CHECKING:
    from collections.abc import Callable

DOCUMENTS_FOLDER = Path(__file__).resolve().parent.parent / "deployments"
_PORT = 8080
_REPLICA_LETTERS = "abcdefghijklmnopqrstuvwxyz"


@dataclass(frozen=True, slots=True)
class IndexFleet:
    """Backend servers of one index: services with equal numbers of replicas."""

    index: str
    services: int
    replicas: int
    slots: int
    connections: int

    def service_name(self, number: int) -> str:
        """Return the name of service *number*; a single service has the name of its index."""
        return self.index if self.services == 1 else f"{self.index}-{number:02}"


@dataclass(frozen=True, slots=True)
class Deployment:
    """Failure domains, backend servers and groups of one user."""

    domains: tuple[str, str, str]
    network: str
    """First two octets of the backend servers' addresses."""
    fleets: tuple[IndexFleet, ...]
    groups: tuple[GroupModel, ...]


@dataclass(frozen=True, slots=True)
class PlacedServer:
    """A backend server of a deployment, before it has an address."""

    name: str
    domain: str
    service: str
    fleet: IndexFleet


COMMITTED_DEPLOYMENTS = ("budapest", "quito")
"""The users' deployments, whose documents are committed. Tools may add others to DEPLOYMENTS."""

DEPLOYMENTS = {
    "quito": Deployment(
        domains=("uio-a", "uio-b", "uio-c"),
        network="10.61",
        fleets=(
            IndexFleet("precedents", services=50, replicas=2, slots=2, connections=25),
            IndexFleet("case-files", services=1, replicas=7, slots=3, connections=100),
            IndexFleet("visits", services=1, replicas=3, slots=3, connections=100),
        ),
        groups=(
            GroupModel(
                name="session",
                select="index=precedents",
                priority=0,
                deadline_ms=350,
                repeatable=True,
                merge="top",
                limit=5,
                min_coverage=0.9,
                canary=True,
            ),
            GroupModel(
                name="case-desk",
                select="index=precedents",
                priority=1,
                deadline_ms=1000,
                repeatable=True,
                merge="top",
                limit=20,
                canary=True,
            ),
            GroupModel(
                name="agreement-registry",
                select="index=precedents",
                priority=0,
                deadline_ms=2000,
                repeatable=False,
                route="key",
                merge="one",
                limit=1,
                min_coverage=1.0,
            ),
            GroupModel(
                name="intake",
                select="index=case-files",
                priority=1,
                deadline_ms=500,
                repeatable=True,
                route="key",
                merge="one",
                limit=1,
                min_coverage=1.0,
            ),
            GroupModel(
                name="follow-up",
                select="index=visits",
                priority=2,
                deadline_ms=1000,
                repeatable=True,
                merge="top",
                limit=20,
            ),
        ),
    ),
    "budapest": Deployment(
        domains=("bud-a", "bud-b", "bud-c"),
        network="10.36",
        fleets=(
            IndexFleet("kiosks", services=50, replicas=2, slots=2, connections=25),
            IndexFleet("settlements", services=1, replicas=3, slots=4, connections=45),
            IndexFleet("promotions", services=1, replicas=3, slots=4, connections=45),
        ),
        groups=(
            GroupModel(
                name="kiosk-finder",
                select="index=kiosks",
                priority=0,
                deadline_ms=350,
                repeatable=True,
                coverage="diminishing",
                merge="nearest",
                limit=5,
                min_coverage=0.8,
                canary=True,
            ),
            GroupModel(
                name="stock",
                select="index=kiosks",
                priority=0,
                deadline_ms=350,
                repeatable=True,
                coverage="diminishing",
                merge="sum",
                limit=50,
                min_coverage=0.9,
                canary=True,
            ),
            GroupModel(
                name="technician-dispatch",
                select="index=kiosks",
                priority=1,
                deadline_ms=1000,
                repeatable=True,
                merge="nearest",
                limit=20,
                canary=True,
            ),
            GroupModel(
                name="owner-portal",
                select="index=settlements",
                priority=1,
                deadline_ms=1000,
                repeatable=False,
                route="key",
                merge="one",
                limit=1,
                min_coverage=1.0,
            ),
            GroupModel(
                name="promotions",
                select="index=promotions",
                priority=2,
                deadline_ms=1000,
                repeatable=True,
                merge="top",
            ),
        ),
    ),
}


def place_servers(deployment: str) -> list[PlacedServer]:
    """Return the servers of *deployment*, with successive replicas in different domains."""
    plan = DEPLOYMENTS[deployment]
    placed = []
    for fleet in plan.fleets:
        for number in range(fleet.services):
            service = fleet.service_name(number)
            for replica in range(fleet.replicas):
                name = f"{service}-{_REPLICA_LETTERS[replica]}"
                domain = plan.domains[(number + replica) % len(plan.domains)]
                placed.append(PlacedServer(name, domain, service, fleet))
    return placed


def build_document(deployment: str, revision: int, addresses: Callable[[str], str]) -> str:
    """Return the document of *deployment* as YAML; *addresses* maps server names to ``ip:port``."""
    servers = [_server_entry(server, addresses) for server in place_servers(deployment)]
    groups = [group.model_dump() for group in DEPLOYMENTS[deployment].groups]
    document = {"revision": revision, "servers": servers, "groups": groups, "exclusions": []}
    return yaml.safe_dump(document, sort_keys=False, default_flow_style=None, width=100)


def published_addresses(deployment: str) -> dict[str, str]:
    """Return the addresses in the committed document, with one network per failure domain."""
    plan = DEPLOYMENTS[deployment]
    hosts = dict.fromkeys(plan.domains, 0)
    addresses = {}
    for server in place_servers(deployment):
        hosts[server.domain] += 1
        domain_octet = plan.domains.index(server.domain) + 1
        addresses[server.name] = f"{plan.network}.{domain_octet}.{hosts[server.domain]}:{_PORT}"
    return addresses


def write_documents(folder: Path = DOCUMENTS_FOLDER) -> None:
    """Write the document of each user's deployment into *folder*."""
    for name in COMMITTED_DEPLOYMENTS:
        text = build_document(name, 1, published_addresses(name).__getitem__)
        (folder / f"{name}.yaml").write_text(text, encoding="utf-8")


def _server_entry(server: PlacedServer, addresses: Callable[[str], str]) -> dict[str, Any]:
    return {
        "name": server.name,
        "address": addresses(server.name),
        "domain": server.domain,
        "index": server.fleet.index,
        "service": server.service,
        "slots": server.fleet.slots,
        "connections": server.fleet.connections,
        "labels": {"replica": server.name[-1]},
    }


if __name__ == "__main__":
    write_documents()
