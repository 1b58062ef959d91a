"""Decodes records of the platform's store: configuration, excluded domains and servers."""

from __future__ import annotations

import logging
import re
from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..config.addresses import parse_server_address
from ..config.problems import format_path
from ..gateway.store_interface import (
    ConfigUpdate,
    DomainUpdate,
    ServerRemoved,
    ServerUpdate,
    StoreUpdate,
)
from ..routing.model import (
    CallerLimits,
    FanOut,
    Registration,
    Route,
    RoutingConfig,
    Service,
    WeightedService,
    Workspace,
)
from ..util.json_text import decode_json
from .keys import digest_of

logger = logging.getLogger(__name__)

CONFIG_KEY = "op/config"
EXCLUSION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
KEY_PREFIXES = ("op/", SERVER_PREFIX)
"""Prefixes of all keys that the gateway reads."""

MAX_NAME_CHARS = 1000
"""Maximum length of the names of services and failure domains."""
MAX_INTEGER = 2**53
"""Largest number of a record; some JSON parsers do not represent larger integers exactly."""

_HEADER_VALUE = r"^[!-~]([ -~]*[!-~])?$"
"""Pattern of the names that are sent in a header."""
_SAFE = "safe"
_DRAINING = "draining"


def _to_kebab_case(name: str) -> str:
    return name.replace("_", "-")


class _Record(BaseModel):
    """Base of the platform's records; unknown fields are ignored."""

    model_config = ConfigDict(
        extra="ignore", alias_generator=_to_kebab_case, frozen=True, allow_inf_nan=False
    )


# An unpaired surrogate is refused in texts of bounded length only.
_Name = Annotated[str, Field(max_length=MAX_NAME_CHARS)]
_Count = Annotated[int, Field(ge=1, le=MAX_INTEGER)]
_Number = Annotated[int, Field(ge=0, le=MAX_INTEGER)]
_Milliseconds = Annotated[float, Field(ge=0, le=MAX_INTEGER)]


class _SplitRecord(_Record):
    service: str
    weight: float = Field(ge=0)


class _RouteRecord(_Record):
    name: str
    host: str
    prefix: str
    # An unknown kind counts as one that must not be repeated.
    route_kind: str = ""
    timeout_ms: float
    target_latency_ms: float | None = None
    priority: int = 0
    max_attempts: _Count = 1
    service: str | None = None
    split: tuple[_SplitRecord, ...] = ()
    fanout_services: tuple[str, ...] = ()
    top_k: int = 0
    min_coverage: float = 0.0
    public: bool = False


class _ServiceRecord(_Record):
    name: str
    max_connections: _Count = 1
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _LimitsRecord(_Record):
    max_header_bytes: int = CallerLimits().max_header_bytes
    max_body_bytes: int = CallerLimits().max_body_bytes
    header_timeout_ms: float = CallerLimits().header_timeout_s * 1000
    idle_timeout_ms: float = CallerLimits().idle_timeout_s * 1000


class _TenantRecord(_Record):
    name: str = Field(pattern=_HEADER_VALUE)
    api_keys: tuple[Annotated[str, Field(min_length=1)], ...] = ()
    priority: int | None = None
    rate_per_s: float | None = Field(default=None, ge=0)
    burst: float | None = Field(default=None, ge=0)


class _ConfigRecord(_Record):
    version: int
    routes: tuple[_RouteRecord, ...]
    services: tuple[_ServiceRecord, ...]
    limits: _LimitsRecord = _LimitsRecord()
    # Each entry is validated by itself, so that an invalid one does not cost the whole record.
    tenants: Any = None


class _ServerRecord(_Record):
    """An entry of a server; another writer may have left it, so it is taken literally."""

    model_config = ConfigDict(strict=True)

    service: Annotated[_Name, Field(min_length=1)]
    address: str
    zone: _Name
    slots: _Count
    state: Literal["ready", "draining"]
    cold_left_ms: _Milliseconds
    sequence: _Number
    # Start time of the server's incarnation, not of its machine.
    born: _Number = 0


def decode_item(key: str, value: bytes | None) -> StoreUpdate | None:
    """Return the update in an item; *value* is ``None`` if the item was deleted.

    Returns ``None`` for keys that the gateway does not read, and for a configuration that is
    deleted or invalid.
    """
    if key == CONFIG_KEY:
        return _decode_config(value)
    if key.startswith(EXCLUSION_PREFIX):
        return DomainUpdate(key.removeprefix(EXCLUSION_PREFIX), value is not None)
    if key.startswith(SERVER_PREFIX):
        return _decode_server(key.removeprefix(SERVER_PREFIX), value)
    return None


@dataclass(frozen=True, slots=True)
class ConfigProblems:
    """A falsy result: the fields of a configuration that cannot be read, and why."""

    problems: tuple[tuple[str, str], ...]

    def __bool__(self) -> bool:
        return False


def decode_config(value: bytes) -> RoutingConfig | ConfigProblems:
    """Return the configuration in *value*, or the problems with its form."""
    try:
        record = _ConfigRecord.model_validate(decode_json(value))
    except ValidationError as exc:
        problems = ((format_path(error["loc"]), error["msg"]) for error in exc.errors())
        return ConfigProblems(tuple(problems))
    except ValueError as exc:
        return ConfigProblems((("document", f"it is not JSON: {exc}"),))
    return _to_config(record)


def _decode_config(value: bytes | None) -> ConfigUpdate | None:
    if value is None:
        return None
    config = decode_config(value)
    if isinstance(config, ConfigProblems):
        why = "; ".join(f"{entry}: {reason}" for entry, reason in config.problems)
        logger.error("invalid configuration record", extra={"fields": {"why": why[:500]}})
        return None
    return ConfigUpdate(config)


def _decode_server(server_id: str, value: bytes | None) -> ServerUpdate | ServerRemoved:
    if value is None:
        return ServerRemoved(server_id)
    if not re.fullmatch(_HEADER_VALUE, server_id):
        return ServerRemoved(server_id, is_unreadable=True)
    try:
        record = _ServerRecord.model_validate(decode_json(value))
        address = parse_server_address(record.address)
    except (ValueError, ValidationError):
        return ServerRemoved(server_id, is_unreadable=True)
    registration = Registration(
        server_id=server_id,
        service=record.service,
        address=address,
        domain=record.zone,
        slots=record.slots,
        draining=record.state == _DRAINING,
        cold_left_s=record.cold_left_ms / 1000,
        started_at_ms=record.born,
        sequence=record.sequence,
    )
    return ServerUpdate(registration)


def _to_config(record: _ConfigRecord) -> RoutingConfig:
    services = {s.name: _to_service(s) for s in record.services}
    limits = CallerLimits(
        max_header_bytes=record.limits.max_header_bytes,
        max_body_bytes=record.limits.max_body_bytes,
        header_timeout_s=record.limits.header_timeout_ms / 1000,
        idle_timeout_s=record.limits.idle_timeout_ms / 1000,
    )
    routes = tuple(_to_route(route) for route in record.routes)
    workspaces = _to_workspaces(record.tenants)
    return RoutingConfig(record.version, routes, services, limits, workspaces)


def _to_workspaces(tenants: Any) -> tuple[Workspace, ...]:
    """Return the workspaces in a record.

    An invalid entry becomes a workspace without keys: its callers are refused, and a configuration
    of which no entry is valid still requires keys.
    """
    if tenants is None:
        return ()
    entries = tenants if isinstance(tenants, list) else [tenants]
    return tuple(_to_workspace(entry, number) for number, entry in enumerate(entries))


def _to_workspace(entry: Any, number: int) -> Workspace:
    try:
        record = _TenantRecord.model_validate(entry)
    except ValidationError as exc:
        problems = [".".join(map(str, error["loc"])) for error in exc.errors()]
        fields = {"entry": number, "invalid": problems}
        logger.error("invalid workspace in the configuration", extra={"fields": fields})
        return Workspace(f"invalid-{number}")
    digests = frozenset(digest_of(key.encode()) for key in record.api_keys)
    return Workspace(
        record.name, digests, record.priority, record.rate_per_s or 0.0, record.burst or 0.0
    )


def _to_service(record: _ServiceRecord) -> Service:
    return Service(record.name, record.max_connections, record.cold_start_s, record.cold_per_s)


def _to_route(record: _RouteRecord) -> Route:
    fan_out = None
    if record.fanout_services:
        fan_out = FanOut(record.fanout_services, record.top_k, record.min_coverage)
    splits = tuple(WeightedService(s.service, s.weight) for s in record.split)
    if record.service:
        splits = (WeightedService(record.service, 1.0),)
    target_ms = record.target_latency_ms or record.timeout_ms
    return Route(
        name=record.name,
        host=record.host,
        prefix=record.prefix,
        idempotent=record.route_kind == _SAFE or fan_out is not None,
        timeout_s=record.timeout_ms / 1000,
        target_s=target_ms / 1000,
        max_attempts=record.max_attempts,
        priority=record.priority,
        splits=splits,
        fan_out=fan_out,
        is_public=record.public,
    )
