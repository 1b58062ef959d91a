"""Promises about how soon changes in the store are followed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .registry import promises
from .requests import prefix_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..journal import Arrival, Journal, Sending, Version

# The bounds of the platform's pages, in seconds.
STABILITY_S = 4.0
APPLY_S = 3.0
DRAIN_S = 3.0
EXCLUDE_S = 5.0
DOWNGRADE_SLACK_S = 0.25

_ENDS = ("kill", "stop")
"""Kinds of disturbances after which a daemon starts anew."""


@promises.register("leaving servers")
def leaving_servers(journal: Journal) -> Iterator[tuple[float, str]]:
    """A server that leaves gets nothing new later than the bound."""
    for arrival, daemon in _arrivals_of_entry(journal):
        left_at = journal.leaving.get(arrival.server_id, float("inf"))
        is_due = arrival.at > left_at + DRAIN_S
        if is_due and _in_touch(journal, daemon, arrival, left_at):
            late_s = arrival.at - left_at
            yield arrival.at, f"{arrival.server_id} got {arrival.request_id} {late_s:.2f} s late"


@promises.register("excluded domains")
def excluded_domains(journal: Journal) -> Iterator[tuple[float, str]]:
    """The servers of a failure domain that is out of service get nothing new."""
    for arrival, daemon in _arrivals_of_entry(journal):
        for domain, start, end in journal.excluded:
            is_due = start + EXCLUDE_S < arrival.at < end
            if domain == arrival.domain and is_due and _in_touch(journal, daemon, arrival, start):
                yield arrival.at, f"{domain} got {arrival.request_id}"


@promises.register("configuration in time")
def configuration_in_time(journal: Journal) -> Iterator[tuple[float, str]]:
    """A version is in force at daemons in touch within its bound."""
    for sending, number in _probed(journal):
        due = _newest(journal, sending.sent_at - APPLY_S)
        start = sending.sent_at - APPLY_S - STABILITY_S
        is_calm = journal.is_calm(sending.daemon, start, sending.ended_at)
        if due is not None and number < due.number and is_calm:
            yield sending.sent_at, (
                f"{sending.daemon} handled {sending.path} as version {number}, due {due.number}"
            )


@promises.register("configuration never back")
def configuration_never_back(journal: Journal) -> Iterator[tuple[float, str]]:
    """A daemon that showed a version does not go back to an older one while it lives."""
    shown: dict[str, tuple[int, float]] = {}
    restarts = {
        name: [d.start for d in journal.disturbances if d.daemon == name and d.kind in _ENDS]
        for name in {s.daemon for s in journal.sendings}
    }
    for sending, least in sorted(_shown_least(journal), key=lambda pair: pair[0].sent_at):
        known, known_at = shown.get(sending.daemon, (0, 0.0))
        if any(known_at <= at <= sending.ended_at for at in restarts[sending.daemon]):
            known = 0
        newest = _highest_that_explains(journal, sending)
        if newest < known and sending.sent_at > known_at + DOWNGRADE_SLACK_S:
            yield sending.sent_at, f"{sending.daemon} went back from {known} to {newest}"
        if least > known:
            shown[sending.daemon] = (least, sending.ended_at)


def _arrivals_of_entry(journal: Journal) -> Iterator[tuple[Arrival, str]]:
    """Yield arrivals that were not refused, with the daemon that took the request."""
    daemons = {s.request_id: s.daemon for s in journal.sendings}
    for arrival in journal.arrivals:
        if arrival.ran and arrival.request_id in daemons:
            yield arrival, daemons[arrival.request_id]


def _in_touch(journal: Journal, daemon: str, arrival: Arrival, since: float) -> bool:
    """Return whether neither the daemon nor the way to the server was disturbed of late."""
    start = min(since, arrival.at - STABILITY_S) - STABILITY_S
    names = (daemon, arrival.server_name)
    return all(journal.is_calm(name, start, arrival.at) for name in names)


def _probed(journal: Journal) -> Iterator[tuple[Sending, int]]:
    """Yield answered probes with the highest version that explains the answer."""
    for sending in journal.sendings:
        if sending.is_probe and (sending.is_success or sending.status == 404):
            yield sending, _highest_that_explains(journal, sending)


def _shown_least(journal: Journal) -> Iterator[tuple[Sending, int]]:
    """Yield answered probes with the lowest version that explains the answer."""
    for sending in journal.sendings:
        if sending.is_probe and sending.is_success:
            yield sending, min(_explaining(journal, sending), default=0)
        elif sending.is_probe and sending.status == 404:
            yield sending, 0


def _highest_that_explains(journal: Journal, sending: Sending) -> int:
    return max(_explaining(journal, sending), default=0)


def _explaining(journal: Journal, sending: Sending) -> list[int]:
    """Return the versions under which a probe gets the answer that it got."""
    prefix = prefix_of(sending.path)
    return [
        version.number
        for version in journal.versions
        if version.at <= sending.ended_at and (prefix in version.probes) == sending.is_success
    ]


def _newest(journal: Journal, before: float) -> Version | None:
    found = [version for version in journal.versions if version.at <= before]
    return found[-1] if found else None
