"""Guarantees about how soon daemons follow changes in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .registry import guarantees
from .routes import prefix_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..journal import Arrival, Call, Journal, Version

# Bounds from the platform's documentation, in seconds.
STABILITY_S = 4.0
"""Time without disturbances after which the other bounds apply."""
APPLY_S = 3.0
DRAIN_S = 3.0
EXCLUDE_S = 5.0
DOWNGRADE_SLACK_S = 0.25

_RESTART_KINDS = ("kill", "stop")
"""Kinds of disturbances after which a daemon restarts."""


@guarantees.register("leaving servers")
def leaving_servers(journal: Journal) -> Iterator[tuple[float, str]]:
    """A leaving server receives no new request after the bound."""
    for arrival, daemon in _executed_arrivals(journal):
        left_at = journal.leaving_since.get(arrival.server_id, float("inf"))
        is_due = arrival.at > left_at + DRAIN_S
        if is_due and _was_undisturbed(journal, daemon, arrival, left_at):
            late_s = arrival.at - left_at
            yield arrival.at, (
                f"{arrival.server_id} received {arrival.request_id} {late_s:.2f} s after it left"
            )


@guarantees.register("excluded domains")
def excluded_domains(journal: Journal) -> Iterator[tuple[float, str]]:
    """The servers of an excluded failure domain receive no new request after the bound."""
    for arrival, daemon in _executed_arrivals(journal):
        for domain, start, end in journal.exclusions:
            is_due = start + EXCLUDE_S < arrival.at < end
            if (
                domain == arrival.domain
                and is_due
                and _was_undisturbed(journal, daemon, arrival, start)
            ):
                yield arrival.at, f"a server in {domain} received {arrival.request_id}"


@guarantees.register("timely configuration")
def timely_configuration(journal: Journal) -> Iterator[tuple[float, str]]:
    """Daemons with undisturbed connections have a version in force within the bound."""
    for call, number in _highest_versions(journal):
        due = _newest_version(journal, call.sent_at - APPLY_S)
        start = call.sent_at - APPLY_S - STABILITY_S
        is_undisturbed = journal.is_undisturbed(call.daemon, start, call.ended_at)
        if due is not None and number < due.number and is_undisturbed:
            yield call.sent_at, (
                f"{call.daemon} handled {call.path} as version {number}, due {due.number}"
            )


@guarantees.register("monotonic configuration")
def monotonic_configuration(journal: Journal) -> Iterator[tuple[float, str]]:
    """A running daemon does not go back to an older version than one it has shown."""
    shown: dict[str, tuple[int, float]] = {}
    restarts = {
        name: [
            d.start for d in journal.disturbances if d.target == name and d.kind in _RESTART_KINDS
        ]
        for name in {call.daemon for call in journal.calls}
    }
    for call, lowest in sorted(_lowest_versions(journal), key=lambda pair: pair[0].sent_at):
        known, known_at = shown.get(call.daemon, (0, 0.0))
        if any(known_at <= at <= call.ended_at for at in restarts[call.daemon]):
            known = 0
        highest = _highest_version(journal, call)
        if highest < known and call.sent_at > known_at + DOWNGRADE_SLACK_S:
            yield call.sent_at, f"{call.daemon} went back from {known} to {highest}"
        if lowest > known:
            shown[call.daemon] = (lowest, call.ended_at)


def _executed_arrivals(journal: Journal) -> Iterator[tuple[Arrival, str]]:
    """Yield executed arrivals, each with the daemon to which the caller sent the request."""
    daemons = {call.request_id: call.daemon for call in journal.calls}
    for arrival in journal.arrivals:
        if arrival.ran and arrival.request_id in daemons:
            yield arrival, daemons[arrival.request_id]


def _was_undisturbed(journal: Journal, daemon: str, arrival: Arrival, since: float) -> bool:
    """Return whether no fault affected the daemon or the server from before *since* on."""
    start = min(since, arrival.at - STABILITY_S) - STABILITY_S
    names = (daemon, arrival.server_name)
    return all(journal.is_undisturbed(name, start, arrival.at) for name in names)


def _highest_versions(journal: Journal) -> Iterator[tuple[Call, int]]:
    """Yield answered probes with the highest version that matches the response."""
    for call in journal.calls:
        if call.is_probe and (call.is_success or call.status == 404):
            yield call, _highest_version(journal, call)


def _lowest_versions(journal: Journal) -> Iterator[tuple[Call, int]]:
    """Yield answered probes with the lowest version that matches the response.

    A 404 gives no lower bound and counts as version 0.
    """
    for call in journal.calls:
        if call.is_probe and call.is_success:
            yield call, min(_matching_versions(journal, call), default=0)
        elif call.is_probe and call.status == 404:
            yield call, 0


def _highest_version(journal: Journal, call: Call) -> int:
    return max(_matching_versions(journal, call), default=0)


def _matching_versions(journal: Journal, call: Call) -> list[int]:
    """Return the versions under which a probe gets the response that it got."""
    prefix = prefix_of(call.path)
    return [
        version.number
        for version in journal.versions
        if version.at <= call.ended_at and (prefix in version.probes) == call.is_success
    ]


def _newest_version(journal: Journal, before: float) -> Version | None:
    found = [version for version in journal.versions if version.at <= before]
    return found[-1] if found else None
