"""Differences between two routing configurations, and what they change for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .findings import Finding, Severity

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator
    from typing import Any

    from .model import Route, RoutingConfig, Service, Workspace


def compare_configs(old: RoutingConfig, new: RoutingConfig) -> list[Finding]:
    """Return what *new* changes, compared with the configuration in force, *old*."""
    findings = list(_compare_versions(old, new))
    findings += _compare("route", old.routes, new.routes, _compare_routes)
    findings += _compare("service", old.services.values(), new.services.values(), _compare_services)
    findings += _compare("workspace", old.workspaces, new.workspaces, _compare_workspaces)
    findings += _compare_fields("limits", old.limits, new.limits)
    return findings


def _compare_versions(old: RoutingConfig, new: RoutingConfig) -> Iterator[Finding]:
    if new.version <= old.version:
        reason = f"version {new.version} does not replace version {old.version}, which is in force"
        yield Finding(Severity.ERROR, "version", reason)


def _compare(
    kind: str,
    old: Iterable[Any],
    new: Iterable[Any],
    compare: Callable[[str, Any, Any], Iterator[Finding]],
) -> Iterator[Finding]:
    olds, news = ({entry.name: entry for entry in entries} for entries in (old, new))
    for name in sorted(olds.keys() | news.keys()):
        entry = f"{kind} {name}"
        if name not in news:
            yield _change(entry, _REMOVAL[kind])
        elif name not in olds:
            yield _change(entry, "is added")
        elif olds[name] != news[name]:
            yield from compare(entry, olds[name], news[name])


_REMOVAL = {
    "route": "is removed; its requests get 404",
    "service": "is removed",
    "workspace": "is removed; requests with its keys get 401",
}


def _compare_routes(entry: str, old: Route, new: Route) -> Iterator[Finding]:
    if (old.host, old.prefix) != (new.host, new.prefix):
        yield _change(entry, f"moves from {old.host}{old.prefix} to {new.host}{new.prefix}")
    if old.services != new.services:
        left = sorted(set(old.services) - set(new.services))
        added = sorted(set(new.services) - set(old.services))
        yield _change(entry, f"requests leave {_names(left)} and go to {_names(added)}")
    elif old.splits != new.splits:
        weights = ", ".join(f"{split.service}={split.weight:g}" for split in new.splits)
        yield _change(entry, f"requests are split by other weights: {weights}")
    if old.is_public and not new.is_public:
        yield _change(entry, "requests without a key get 401")
    skipped = ("host", "prefix", "splits", "fan_out")
    yield from _compare_fields(entry, old, new, skipped)
    if old.fan_out is not None and new.fan_out is not None:
        yield from _compare_fields(entry, old.fan_out, new.fan_out, ("shards",))


def _compare_services(entry: str, old: Service, new: Service) -> Iterator[Finding]:
    yield from _compare_fields(entry, old, new)


def _compare_workspaces(entry: str, old: Workspace, new: Workspace) -> Iterator[Finding]:
    withdrawn = len(old.key_digests - new.key_digests)
    added = len(new.key_digests - old.key_digests)
    if withdrawn:
        yield _change(entry, f"{withdrawn} keys are withdrawn; requests with them get 401")
    if added:
        yield _change(entry, f"{added} keys are added")
    if new.rate_per_s and (not old.rate_per_s or new.rate_per_s < old.rate_per_s):
        yield _change(entry, "its limit is lowered; requests over it get 429")
    yield from _compare_fields(entry, old, new, ("key_digests",))


def _compare_fields(
    entry: str, old: Any, new: Any, skipped: tuple[str, ...] = ()
) -> Iterator[Finding]:
    for name in old.__slots__:
        if name not in skipped and getattr(old, name) != getattr(new, name):
            before, after = (_text(getattr(value, name)) for value in (old, new))
            yield _change(entry, f"{name} changes from {before} to {after}")


def _text(value: object) -> str:
    if isinstance(value, bool) or value is None:
        return {True: "yes", False: "no", None: "none"}[value]
    return f"{value:g}" if isinstance(value, float) else str(value)


def _names(names: list[str]) -> str:
    return ", ".join(names) or "no other service"


def _change(entry: str, reason: str) -> Finding:
    return Finding(Severity.CHANGE, entry, reason)
