"""Options, servers and daemons of a fleet of processes, as configured before its start."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .behaviour import Behaviour, ServerSpec

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from pathlib import Path

    from .processes import ChildProcess


@dataclass(slots=True)
class Daemon:
    """A daemon; its ports stay reserved while its process is down."""

    name: str
    domain: str
    caller_address: str
    peer_address: str
    admin_address: str
    settings_path: Path
    process: ChildProcess | None = None


@dataclass(frozen=True, slots=True)
class Server:
    """A backend server, and the control address of the process that it runs in."""

    name: str
    index: str
    service: str
    domain: str
    slots: int
    address: str
    control_address: str


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Options of a fleet. ``parameters`` overrides constants of the daemons' cores."""

    deployment: str = "budapest"
    daemons: int = 6
    server_processes: int = 2
    seed: int = 1
    warm: bool = True
    """Whether servers are warm when the daemons start."""
    behaviour: Behaviour = field(default_factory=Behaviour)
    parameters: dict[str, float] = field(default_factory=dict)
    log_level: str = "info"


def server_specs(entries: Sequence[dict[str, Any]]) -> list[ServerSpec]:
    """Return the stand-in specification of each server in a document."""
    services: dict[str, list[str]] = {}
    for entry in entries:
        names = services.setdefault(entry["index"], [])
        if entry["service"] not in names:
            names.append(entry["service"])
    return [
        ServerSpec(
            name=entry["name"],
            index=entry["index"],
            service=entry["service"],
            service_ordinal=sorted(services[entry["index"]]).index(entry["service"]),
            service_count=len(services[entry["index"]]),
            slots=entry["slots"],
            connections=entry["connections"],
        )
        for entry in entries
    ]


def servers_file(
    specs: Sequence[ServerSpec], snapshots: dict[str, dict[int, int]], options: FleetOptions
) -> dict[str, Any]:
    """Return the start-up file of a server process as data; see ``ServersFile``."""
    return {
        "seed": options.seed,
        "behaviour": options.behaviour.model_dump(),
        "servers": [spec.model_dump() for spec in specs],
        "snapshots_by_index": snapshots,
    }


def daemon_settings(daemon: Daemon, platform_address: str, options: FleetOptions) -> dict[str, Any]:
    """Return the settings file of *daemon* as data."""
    settings: dict[str, Any] = {
        "name": daemon.name,
        "domain": daemon.domain,
        "caller_address": daemon.caller_address,
        "peer_address": daemon.peer_address,
        "admin_address": daemon.admin_address,
        "platform": f"http://{platform_address}",
        "log_level": options.log_level,
    }
    if options.parameters:
        settings["parameters"] = dict(options.parameters)
    return settings


def placeholder_addresses() -> Callable[[str], str]:
    """Return a function that gives each server a distinct address until the real one is known."""
    numbers: dict[str, int] = {}
    return lambda name: f"127.0.0.1:{1024 + numbers.setdefault(name, len(numbers))}"
