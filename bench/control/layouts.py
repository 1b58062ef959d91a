"""Generated deployments of any size and their configuration documents."""

from __future__ import annotations

import json
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from marigoldwalk.config import acceptance, yaml_text
from marigoldwalk.config.view import Address
from marigoldwalk.core.events import Instance

if TYPE_CHECKING:
    from collections.abc import Iterator

    from marigoldwalk.config.view import View

PEER_PORT = 7001
SERVER_PORT = 8080
_UNLIMITED_BYTES = 1 << 30


@dataclass(frozen=True, slots=True)
class Layout:
    """Size and settings of a generated deployment; each service is one shard of its index."""

    indexes: int = 1
    services: int = 140
    replicas: int = 10
    groups_per_index: int = 1
    domains: int = 26
    block_services: int = 6
    block_replicas: int = 2
    slots: int = 2
    canary: bool = False
    repeatable: bool = True

    @property
    def servers(self) -> int:
        """Number of backend servers."""
        return self.indexes * self.services * self.replicas


def domain_name(number: int, domains: int) -> str:
    """Return the failure domain of the daemon or server with the given number."""
    return f"region-{number % domains % 8}-{number % domains:02}"


def document_text(layout: Layout, revision: int = 1) -> str:
    """Return the document of *layout* as JSON, the format that is parsed fastest."""
    return json.dumps(
        {
            "revision": revision,
            "servers": _servers(layout),
            "groups": _groups(layout),
            "block_services": layout.block_services,
            "block_replicas": layout.block_replicas,
        },
        separators=(",", ":"),
    )


def _servers(layout: Layout) -> list[dict[str, Any]]:
    servers: list[dict[str, Any]] = []
    for index in range(layout.indexes):
        for service in range(layout.services):
            for replica in range(layout.replicas):
                number = len(servers)
                servers.append(
                    {
                        "name": f"i{index:02}-s{service:03}-r{replica:02}",
                        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
                        f":{SERVER_PORT}",
                        "domain": domain_name(service + replica, layout.domains),
                        "index": f"i{index:02}",
                        "service": f"i{index:02}-s{service:03}",
                        "slots": layout.slots,
                        "connections": 25,
                        "labels": {"replica": f"r{replica:02}"},
                    }
                )
    return servers


def _groups(layout: Layout) -> list[dict[str, Any]]:
    return [
        {
            "name": f"g{index:02}-{number:03}",
            "select": f"index=i{index:02}",
            "priority": number % 4,
            "deadline_ms": 1000,
            "repeatable": layout.repeatable,
            "route": "all" if layout.repeatable else "key",
            "merge": "top",
            "limit": 10,
            "canary": layout.canary,
        }
        for index in range(layout.indexes)
        for number in range(layout.groups_per_index)
    ]


@contextmanager
def no_size_limit() -> Iterator[None]:
    """Disable the size limit of documents, which is the platform's limit for a stored value."""
    with patch.object(yaml_text, "MAX_TEXT_BYTES", _UNLIMITED_BYTES):
        yield


def accept_any_size(text: str) -> View:
    """Accept a document of any size and return its view."""
    with no_size_limit():
        view = acceptance.accept(text)
    if not view:
        raise ValueError(f"generated document rejected: {view.problems[:3]}")
    return view


def daemon_name(number: int) -> str:
    """Return the name of the daemon with the given number."""
    return f"m-{number:04}"


def instances(daemons: int, domains: int, *, first: int = 0) -> tuple[Instance, ...]:
    """Return an instance list of *daemons* daemons, numbered from *first*."""
    return tuple(
        Instance(
            daemon_name(number),
            Address(f"10.200.{number >> 8}.{number & 255}", PEER_PORT),
            domain_name(number, domains),
            leaving=False,
        )
        for number in range(first, first + daemons)
    )
