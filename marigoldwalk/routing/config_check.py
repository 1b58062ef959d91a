"""Checks of a routing configuration before it is published.

Each check is a function that yields findings for one kind of mistake. The decorator
:func:`config_check` adds it to the checks that :func:`check_config` runs::

    for finding in check_config(config, replicas={"stock-1": 2}):
        print(finding)
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .findings import Finding, Severity

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from .model import Route, RoutingConfig

    Replicas = Mapping[str, int] | None
    Check = Callable[[RoutingConfig, Replicas], Iterator[Finding]]

_CHECKS: list[Check] = []


def config_check(check: Check) -> Check:
    """Register *check*, which takes a configuration and the servers of each service, if known."""
    _CHECKS.append(check)
    return check


def check_config(config: RoutingConfig, replicas: Replicas = None) -> list[Finding]:
    """Return all findings for *config*, the most severe ones first.

    *replicas* contains the number of registered servers of each service. Without it, the checks
    that need it find nothing.
    """
    findings = [finding for check in _CHECKS for finding in check(config, replicas)]
    return sorted(findings, key=lambda finding: -finding.severity)


def _error(entry: str, reason: str) -> Finding:
    return Finding(Severity.ERROR, entry, reason)


def _warning(entry: str, reason: str) -> Finding:
    return Finding(Severity.WARNING, entry, reason)


def _entry(route: Route) -> str:
    return f"route {route.name}"


@config_check
def _names(config: RoutingConfig, _: Replicas) -> Iterator[Finding]:
    for kind, entries in (("route", config.routes), ("workspace", config.workspaces)):
        counts = Counter(entry.name for entry in entries)
        for name, count in counts.items():
            if count > 1:
                yield _error(f"{kind} {name}", f"{count} entries have this name")


@config_check
def _hidden_routes(config: RoutingConfig, _: Replicas) -> Iterator[Finding]:
    """Find routes that no request can match."""
    last: dict[tuple[str, str], Route] = {(r.host.lower(), r.prefix): r for r in config.routes}
    for route in config.routes:
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield _error(_entry(route), "no request matches, since the prefix needs slashes around")
        if ":" in route.host or not route.host:
            yield _error(_entry(route), f"no request matches the host {route.host!r}")
        other = last[route.host.lower(), route.prefix]
        if other is not route:
            yield _error(_entry(route), f"route {other.name} has the same host and prefix")


@config_check
def _services_of_routes(config: RoutingConfig, replicas: Replicas) -> Iterator[Finding]:
    for route in config.routes:
        if not route.services:
            yield _error(_entry(route), "it names no service")
        unknown = sorted(set(route.services) - config.services.keys())
        if unknown:
            yield _error(_entry(route), f"the configuration has no service {', '.join(unknown)}")
        if replicas is None:
            continue
        empty = sorted({s for s in route.services if s not in unknown and not replicas.get(s)})
        if empty:
            yield _warning(_entry(route), f"no server is registered for {', '.join(empty)}")


@config_check
def _unused_services(config: RoutingConfig, _: Replicas) -> Iterator[Finding]:
    used = {service for route in config.routes for service in route.services}
    for name in sorted(config.services.keys() - used):
        yield _warning(f"service {name}", "no route names it")


@config_check
def _fan_outs(config: RoutingConfig, replicas: Replicas) -> Iterator[Finding]:
    for route in config.routes:
        fan_out = route.fan_out
        if fan_out is None:
            continue
        repeated = sorted(s for s, count in Counter(fan_out.shards).items() if count > 1)
        if repeated:
            yield _error(_entry(route), f"shards are named twice: {', '.join(repeated)}")
        if not 0.0 <= fan_out.min_coverage <= 1.0:
            reason = f"no answer has a coverage of {fan_out.min_coverage:g}"
            yield _error(_entry(route), reason)
        if fan_out.top_k < 1:
            yield _error(_entry(route), "its answers contain no records")
        if replicas is not None and route.fan_out.shards:
            served = sum(bool(replicas.get(shard)) for shard in fan_out.shards)
            if served < fan_out.min_coverage * len(fan_out.shards):
                reason = f"only {served} of {len(fan_out.shards)} shards have servers"
                yield _error(_entry(route), f"{reason}, below its minimum coverage")


@config_check
def _splits(config: RoutingConfig, _: Replicas) -> Iterator[Finding]:
    for route in config.routes:
        weights = [split.weight for split in route.splits]
        if weights and sum(weights) <= 0:
            yield _error(_entry(route), "all weights are 0")
            continue
        for split in route.splits:
            if split.weight == 0:
                yield _warning(_entry(route), f"{split.service} has weight 0 and gets no requests")


@config_check
def _attempts(config: RoutingConfig, replicas: Replicas) -> Iterator[Finding]:
    for route in config.routes:
        if not route.idempotent and route.max_attempts > 1:
            reason = f"{route.max_attempts} attempts have no effect, since it must not be repeated"
            yield _warning(_entry(route), reason)
        known = [replicas[s] for s in route.services if replicas.get(s)] if replicas else []
        if known and route.max_attempts > min(known):
            reason = f"{route.max_attempts} attempts exceed the {min(known)} servers of a service"
            yield _warning(_entry(route), reason)


@config_check
def _time_limits(config: RoutingConfig, _: Replicas) -> Iterator[Finding]:
    for route in config.routes:
        if route.timeout_s <= 0:
            yield _error(_entry(route), "its timeout is 0 or less")
        elif route.target_s > route.timeout_s:
            timeout_ms, target_ms = route.timeout_s * 1000, route.target_s * 1000
            reason = f"the timeout of {timeout_ms:g} ms is below the target of {target_ms:g} ms"
            yield _error(_entry(route), reason)
    limits = config.limits
    if limits.header_timeout_s <= 0 or limits.idle_timeout_s <= 0:
        yield _error("limits", "a time limit for callers is 0 or less")
    if limits.max_header_bytes <= 0:
        yield _error("limits", "no request has headers of 0 bytes")


@config_check
def _server_limits(config: RoutingConfig, _: Replicas) -> Iterator[Finding]:
    for service in config.services.values():
        if service.cold_per_s > 0 and service.cold_s <= 0:
            reason = "the rate of cold servers has no effect, since servers are never cold"
            yield _warning(f"service {service.name}", reason)


@config_check
def _keys(config: RoutingConfig, _: Replicas) -> Iterator[Finding]:
    holders: dict[bytes, str] = {}
    for workspace in config.workspaces:
        entry = f"workspace {workspace.name}"
        if not workspace.key_digests:
            yield _warning(entry, "it has no key, so all its requests are refused")
        others = {holders[d] for d in workspace.key_digests if d in holders} - {workspace.name}
        for other in sorted(others):
            yield _error(entry, f"a key of it also belongs to workspace {other}")
        for digest in workspace.key_digests:
            holders.setdefault(digest, workspace.name)


@config_check
def _quotas(config: RoutingConfig, _: Replicas) -> Iterator[Finding]:
    for workspace in config.workspaces:
        entry = f"workspace {workspace.name}"
        if workspace.rate_per_s <= 0 < workspace.burst:
            yield _warning(entry, "the burst has no effect, since there is no rate")
        if workspace.rate_per_s > 0 and workspace.burst < 1:
            yield _warning(entry, f"a burst of {workspace.burst:g} is under one request")
