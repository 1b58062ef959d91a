"""Child processes that exchange lines of JSON with their parent and do not outlive it."""

from __future__ import annotations

import json
import os
import select
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence

REPOSITORY = Path(__file__).resolve().parent.parent
MESSAGE_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
LOG_TAIL_CHARACTERS = 3000


class FleetError(RuntimeError):
    """A process of the fleet failed or did not respond as expected."""


class ChildProcess:
    """A ``python -m`` command whose standard error goes to a log file.

    Its standard input stays open until the parent terminates it or ends.
    """

    def __init__(self, name: str, arguments: Sequence[str], folder: Path) -> None:
        self.name = name
        self.log_path = folder / f"{name}.log"
        environment = {**os.environ, "PYTHONPATH": str(REPOSITORY), "PYTHONUNBUFFERED": "1"}
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def running(self) -> bool:
        """Return whether the process is still running."""
        return self._process.poll() is None

    def exit_status(self) -> int | None:
        """Return the exit status, negative for a signal, or ``None`` while it runs."""
        return self._process.poll()

    def send_message(self, message: dict[str, Any]) -> None:
        """Send a line of JSON to the process."""
        self._process.stdin.write(json.dumps(message).encode() + b"\n")
        self._process.stdin.flush()

    def read_message(self, timeout_s: float = MESSAGE_TIMEOUT_S) -> dict[str, Any]:
        """Return the next line of JSON that the process prints; raises ``FleetError``."""
        readable, _, _ = select.select([self._process.stdout], [], [], timeout_s)
        line = self._process.stdout.readline() if readable else b""
        if not line:
            raise FleetError(f"{self.name} sent no message:\n{self.log_tail()}")
        return json.loads(line)

    def log_tail(self) -> str:
        """Return the end of the log."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")[-LOG_TAIL_CHARACTERS:]

    def send_signal(self, signum: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.running():
            self._process.send_signal(signum)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Wait for the process to end; returns its exit status, or ``None`` on time-out."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def terminate(self) -> None:
        """Close standard input and send SIGTERM."""
        if self._process.stdin is not None:
            self._process.stdin.close()
        # A process stopped by SIGSTOP handles SIGTERM only after it continues.
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)

    def wait_or_kill(self, deadline: float) -> None:
        """Wait until *deadline*, in monotonic seconds, and kill the process if it still runs."""
        if self.wait(max(0.0, deadline - time.monotonic())) is None:
            self._process.kill()
            self._process.wait()
        if self._process.stdout is not None:
            self._process.stdout.close()


def stop_all(children: Sequence[ChildProcess], grace_s: float = STOP_TIMEOUT_S) -> None:
    """Terminate *children* together and kill those that still run after *grace_s*."""
    deadline = time.monotonic() + grace_s
    for child in children:
        child.terminate()
    for child in children:
        child.wait_or_kill(deadline)
