"""Samples of the fleet's counters and CPU time, and their differences over a load."""

from __future__ import annotations

import os
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import urllib3
from prometheus_client.parser import text_string_to_metric_families

if TYPE_CHECKING:
    from collections.abc import Iterable

    from standins.fleet import Fleet

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_METRIC_FAMILIES = ("subrequest", "retry", "hedge", "refusal", "missing")
_JOURNAL_COUNTERS = ("runs", "over_slots", "cold_overloads", "connections_refused")
_JOURNAL_PEAKS = ("running_peak", "cold_peak", "connections_peak")


@dataclass(frozen=True, slots=True)
class ServerCounts:
    """Counters summed over all backend servers, and the highest peak of any single server."""

    received: int
    deaths: int
    outcomes: Counter[str]
    counts: Counter[str]
    peaks: dict[str, int]

    def since(self, earlier: ServerCounts) -> ServerCounts:
        """Return the increase of the counters since *earlier*; peaks are not subtracted."""
        return ServerCounts(
            self.received - earlier.received,
            self.deaths - earlier.deaths,
            self.outcomes - earlier.outcomes,
            self.counts - earlier.counts,
            self.peaks,
        )


@dataclass(frozen=True, slots=True)
class Sample:
    """The counters at one time; ``time_s`` is in Unix seconds, ``cpu_by_pid`` in CPU seconds."""

    time_s: float
    cpu_by_pid: dict[int, float]
    servers_cpu_s: float
    servers: ServerCounts
    metrics: Counter[str]

    @property
    def cpu_s(self) -> float:
        """CPU time of the daemons or plain fan-outs.

        A difference of two samples leaves out processes that are not in both.
        """
        return sum(self.cpu_by_pid.values())

    def since(self, earlier: Sample) -> Sample:
        """Return the difference from *earlier*, with the elapsed seconds as ``time_s``."""
        return Sample(
            self.time_s - earlier.time_s,
            _cpu_since(self.cpu_by_pid, earlier.cpu_by_pid),
            self.servers_cpu_s - earlier.servers_cpu_s,
            self.servers.since(earlier.servers),
            self.metrics - earlier.metrics,
        )


def take_sample(fleet: Fleet, pids: Iterable[int]) -> Sample:
    """Read the counters of servers and daemons, and the CPU time of *pids* and the servers."""
    return Sample(
        time.time(),
        {pid: cpu_seconds(pid) for pid in pids},
        sum(map(cpu_seconds, fleet.server_pids())),
        _server_counts(fleet.journals()),
        _daemon_metrics(fleet),
    )


def cpu_seconds(pid: int) -> float:
    """Return the CPU time used by a process, or 0 if the process has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    except OSError:
        return 0.0
    # The command name, in parentheses, may contain spaces.
    fields = text.rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / _TICKS_PER_S


def _cpu_since(now: dict[int, float], earlier: dict[int, float]) -> dict[int, float]:
    return {pid: now[pid] - earlier[pid] for pid in now.keys() & earlier.keys()}


def _server_counts(journals: dict[str, dict[str, Any]]) -> ServerCounts:
    entries = list(journals.values())
    outcomes: Counter[str] = Counter()
    for entry in entries:
        outcomes.update(entry["outcomes"])
    return ServerCounts(
        sum(entry["received"] for entry in entries),
        sum(len(entry["deaths"]) for entry in entries),
        outcomes,
        Counter({name: sum(entry[name] for entry in entries) for name in _JOURNAL_COUNTERS}),
        {name: max(entry[name] for entry in entries) for name in _JOURNAL_PEAKS},
    )


def _daemon_metrics(fleet: Fleet) -> Counter[str]:
    totals: Counter[str] = Counter()
    for daemon in fleet.daemons.values():
        totals.update(_read_metrics(daemon.admin_address))
    return totals


def _read_metrics(address: str) -> Counter[str]:
    try:
        reply = urllib3.request("GET", f"http://{address}/metrics", retries=False, timeout=5.0)
    except urllib3.exceptions.HTTPError:
        return Counter()
    found: Counter[str] = Counter()
    for family in text_string_to_metric_families(reply.data.decode()):
        kind = family.name.removeprefix("marigoldwalk_")
        if kind in _METRIC_FAMILIES:
            for sample in family.samples:
                found[f"{kind}.{sample.labels['reason']}"] += int(sample.value)
    return found
