"""The gateway daemons of a soak, as real processes that are restarted when they end."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import gevent
from gevent import socket as gevent_socket

from standins.listener import LOOPBACK, reserve_port

from .journal import Disturbance
from .relay import Relay

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldwalk.config.view import Address

    from .journal import Journal

REPOSITORY = Path(__file__).resolve().parent.parent
GRACE_S = 6.0
RESTART_DELAY_S = 0.3
"""Delay before a process that has ended is restarted."""
STARTUP_S = 3.0
"""Time within which a started daemon becomes ready on a busy machine."""
POLL_INTERVAL_S = 0.1
READY_TIMEOUT_S = 0.5
READY_INTERVAL_S = 0.4
FAILED_CHECKS_LIMIT = 2
"""Failed readiness checks after which the balancer opens no new connections to a daemon."""

SETTINGS = """\
name: {name}
domain: {domain}
caller_address: {caller}
readiness_address: {ready}
peer_address: {peer}
admin_address: {admin}
seeds: [{seeds}]
store_address: {store}
grace_s: {grace_s}
"""


@dataclass(frozen=True, slots=True)
class Ports:
    """The loopback ports of one daemon."""

    caller: int
    ready: int
    peer: int
    admin: int


class Daemon:
    """A gateway process that is restarted whenever it ends."""

    def __init__(
        self,
        name: str,
        domain: str,
        store: Address,
        directory: Path,
        journal: Journal,
        now: Callable[[], float],
    ) -> None:
        self.name = name
        self.domain = domain
        # Reserved across restarts, so that no outgoing connection is assigned one of the ports.
        self._guards = [reserve_port() for _ in range(4)]
        self.ports = Ports(*(guard.getsockname()[1] for guard in self._guards))
        self.store_link = Relay(store)
        self.failed_checks = FAILED_CHECKS_LIMIT
        self._directory = directory
        self._journal = journal
        self._now = now
        self._process: subprocess.Popen[bytes] | None = None
        self._killed_by_harness = False
        self._was_ready = False
        self._stop_requested_at: float | None = None
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def is_in_rotation(self) -> bool:
        """Whether the balancer opens new connections to the daemon."""
        return self.failed_checks < FAILED_CHECKS_LIMIT

    @property
    def log_path(self) -> Path:
        """The file with the output of the process."""
        return self._directory / f"{self.name}.log"

    def launch(self, seeds: list[str]) -> None:
        """Write the settings, start the process and restart it whenever it ends."""
        text = SETTINGS.format(
            name=self.name,
            domain=self.domain,
            caller=f"{LOOPBACK}:{self.ports.caller}",
            ready=f"{LOOPBACK}:{self.ports.ready}",
            peer=f"{LOOPBACK}:{self.ports.peer}",
            admin=f"{LOOPBACK}:{self.ports.admin}",
            seeds=", ".join(seeds),
            store=f"{LOOPBACK}:{self.store_link.port}",
            grace_s=GRACE_S,
        )
        self._settings_path.write_text(text, encoding="utf-8")
        self._start_process()
        self._greenlets = [gevent.spawn(self._supervise), gevent.spawn(self._poll_readiness)]

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self._killed_by_harness = True
        self._record_disturbance("kill", RESTART_DELAY_S + STARTUP_S)
        self._signal(signal.SIGKILL)

    def pause(self, duration_s: float) -> None:
        """Pause the process for *duration_s*."""
        self._record_disturbance("pause", duration_s)
        self._signal(signal.SIGSTOP)
        gevent.spawn_later(duration_s, self._signal, signal.SIGCONT)

    def stop(self) -> None:
        """Request a graceful stop, unless one is in progress or the process has ended."""
        if self._stop_requested_at is None and self._process.poll() is None:
            self._stop_requested_at = self._now()
            self._record_disturbance("stop", GRACE_S + RESTART_DELAY_S + STARTUP_S)
            self._signal(signal.SIGTERM)

    def reload(self) -> None:
        """Send SIGHUP, on which the process reloads its settings."""
        self._signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Kill the process, stop restarting it, and release its ports."""
        gevent.killall(self._greenlets)
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()
        self.store_link.stop()
        for guard in self._guards:
            guard.close()

    @property
    def _settings_path(self) -> Path:
        return self._directory / f"{self.name}.yaml"

    def _start_process(self) -> None:
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "marigoldwalk.platform"],
                cwd=REPOSITORY,
                env={**os.environ, "MARIGOLDWALK_BOOT": str(self._settings_path)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._killed_by_harness = False
        self._was_ready = False
        self._stop_requested_at = None

    def _supervise(self) -> None:
        """Restart the process whenever it ends, and record planned stops and unexpected exits."""
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            status = self._process.poll()
            if status is None:
                self._kill_overdue()
                continue
            if self._stop_requested_at is not None:
                self._journal.planned_stops.append(
                    (self.name, self._stop_requested_at, self._now())
                )
            if not self._killed_by_harness and not self._is_expected_exit(status):
                self._journal.unexpected_exits.append((self.name, self._now(), status))
            gevent.sleep(RESTART_DELAY_S)
            self._start_process()

    def _is_expected_exit(self, status: int) -> bool:
        """Return whether the process ended as expected after a signal of the harness.

        SIGTERM kills a process that is still loading and has accepted no request. SIGHUP kills one
        whose interpreter has not yet reached the first line of the program, which ignores SIGHUP.
        """
        if status == -signal.SIGHUP:
            return not self._was_ready
        if self._stop_requested_at is None:
            return False
        return status == 0 or (status == -signal.SIGTERM and not self._was_ready)

    def _kill_overdue(self) -> None:
        """Kill a process that is still running after its grace period, as the platform does."""
        if self._stop_requested_at is not None and self._now() - self._stop_requested_at > GRACE_S:
            self._signal(signal.SIGKILL)

    def _poll_readiness(self) -> None:
        """Poll the readiness endpoint as the balancer does."""
        while True:
            gevent.sleep(READY_INTERVAL_S)
            is_ready = self._is_ready()
            self._was_ready |= is_ready
            self.failed_checks = 0 if is_ready else self.failed_checks + 1

    def _is_ready(self) -> bool:
        address = (LOOPBACK, self.ports.ready)
        try:
            with gevent_socket.create_connection(address, READY_TIMEOUT_S) as sock:
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def _signal(self, number: int) -> None:
        if self._process.poll() is None:
            self._process.send_signal(number)

    def _record_disturbance(self, kind: str, duration_s: float) -> None:
        now = self._now()
        self._journal.disturbances.append(Disturbance(self.name, kind, now, now + duration_s))
