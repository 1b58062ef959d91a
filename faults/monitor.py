"""A thread that records which revision each daemon has in force."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import urllib3

if TYPE_CHECKING:
    from .checks import Findings
    from .fleet import FaultFleet

POLL_INTERVAL_S = 0.2
STATUS_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class Observation:
    """The state of a daemon at one time; ``at`` is in Unix seconds."""

    at: float
    daemon: str
    started_at: float
    revision: int
    digest: str
    ready: bool


@dataclass(slots=True)
class Monitor:
    """Polls ``/status`` of every daemon."""

    fleet: FaultFleet
    observations: list[Observation] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _thread: threading.Thread | None = None
    _http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, timeout=STATUS_TIMEOUT_S)
    )

    def start(self) -> None:
        """Start polling."""
        self._thread = threading.Thread(target=self._run, name="monitor", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()

    def read(self, name: str) -> Observation | None:
        """Return the current state of a daemon, or ``None`` if it does not answer."""
        url = f"http://{self.fleet.daemons[name].admin_address}/status"
        try:
            status = self._http.request("GET", url).json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return None
        return Observation(
            time.time(),
            name,
            status["started_at"],
            status["revision"],
            status["digest"],
            status["ready"],
        )

    def wait_for_revision(self, revision: int, names: tuple[str, ...], timeout_s: float) -> float:
        """Return the seconds until all daemons *names* have *revision*; infinity on a time-out."""
        started = time.monotonic()
        waiting = set(names)
        while waiting and time.monotonic() - started < timeout_s:
            for name in sorted(waiting):
                observation = self.read(name)
                if observation is not None and observation.revision == revision:
                    waiting.discard(name)
            time.sleep(0.02)
        return float("inf") if waiting else time.monotonic() - started

    def check(self, findings: Findings) -> None:
        """Count the observations in which a daemon went back to an older revision.

        A restarted daemon that is not ready and has no revision yet does not count.
        """
        highest: dict[str, int] = {}
        for observation in self.observations:
            previous = highest.get(observation.daemon, 0)
            if observation.revision < previous and (observation.ready or observation.revision):
                findings.reverts += 1
                findings.add_violation(
                    f"{observation.daemon} went from revision {previous} back to"
                    f" {observation.revision}"
                )
            highest[observation.daemon] = max(previous, observation.revision)

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            for name in self.fleet.daemons:
                observation = self.read(name)
                if observation is not None:
                    self.observations.append(observation)
