"""Log lines that never block the daemon and stay bounded under load."""

from __future__ import annotations

import logging
import os
import time
from collections import Counter, deque
from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable

LINES_PER_S = 20.0
"""Lines of one message at one level that are written each second; a burst may take two seconds'
worth at once. What a daemon serves at its most is about 100 requests a second."""
IMPORTANT_LINES_PER_S = 100.0
"""The same for warnings and for lines about requests that failed or were refused."""
MAX_BUFFER_BYTES = 262_144
"""Lines that wait for a slow reader; beyond this, lines are left out."""
RETRY_S = 0.05
"""Pause before writing again to a reader that takes nothing."""
SUMMARY_S = 5.0
"""Time between lines that count what was left out."""


class LineLimit:
    """A token bucket for each kind of line."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._buckets: dict[tuple[str, int], tuple[float, float]] = {}

    def allows(self, record: logging.LogRecord) -> bool:
        """Take one token for the kind of *record*; returns whether there was one."""
        is_important = record.levelno >= logging.WARNING or getattr(record, "important", False)
        rate = IMPORTANT_LINES_PER_S if is_important else LINES_PER_S
        now = self._now()
        key = (str(record.msg), record.levelno)
        tokens, since = self._buckets.get(key, (2 * rate, now))
        tokens = min(2 * rate, tokens + rate * (now - since))
        is_allowed = tokens >= 1.0
        self._buckets[key] = (tokens - 1.0 if is_allowed else tokens, now)
        return is_allowed


class NonBlockingHandler(logging.Handler):
    """Write lines to a file descriptor without ever waiting for its reader.

    Lines go out at once while the reader takes them. Otherwise they wait in a bounded buffer, and
    what finds no room is counted and left out; a later line tells how many there were.
    """

    def __init__(self, descriptor: int, limit: LineLimit | None = None) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.left_out: Counter[str] = Counter()
        """Lines that were not written since the last summary, by message."""
        self._descriptor = descriptor
        self._limit = limit or LineLimit()
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._is_retrying = False
        self._summary_due = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write *record*, keep it for later, or count it as left out."""
        if not self._limit.allows(record):
            self._leave_out(record)
            return
        line = self.format(record).encode() + b"\n"
        if self._waiting_bytes + len(line) > MAX_BUFFER_BYTES:
            self._leave_out(record)
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        self._write()

    def _leave_out(self, record: logging.LogRecord) -> None:
        self.left_out[str(record.msg)] += 1
        if not self._summary_due:
            self._summary_due = True
            gevent.spawn_later(SUMMARY_S, self._summarize)

    def _summarize(self) -> None:
        self._summary_due = False
        fields = {"by_message": dict(self.left_out)}
        self.left_out.clear()
        extra = {"fields": fields, "important": True}
        logging.getLogger(__name__).info("log lines were dropped", extra=extra)

    def _write(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                count = os.write(self._descriptor, line)
            except BlockingIOError:
                self._retry_later()
                return
            except OSError:
                # Nobody reads any more; lines must not pile up for nobody.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= count
            if count < len(line):
                self._waiting[0] = line[count:]
                self._retry_later()
                return
            self._waiting.popleft()

    def _retry_later(self) -> None:
        if not self._is_retrying:
            self._is_retrying = True
            gevent.spawn_later(RETRY_S, self._retry)

    def _retry(self) -> None:
        self._is_retrying = False
        self._write()
