"""Log output that never blocks the daemon and is rate-limited under load."""

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
"""Rate limit for the lines of one message at one level. A burst may use up to two seconds' worth
at once. The highest load of a daemon is about 100 requests per second."""
IMPORTANT_LINES_PER_S = 100.0
"""Rate limit for warnings and for lines about requests that failed or were refused."""
MAX_BUFFER_BYTES = 262_144
"""Limit on the lines buffered for a slow reader; lines beyond it are dropped."""
RETRY_INTERVAL_S = 0.05
"""Time between attempts to write to a descriptor whose buffer is full."""
SUMMARY_INTERVAL_S = 5.0
"""Time from the first dropped line to the line that reports how many were dropped."""


class LineRateLimiter:
    """Token buckets, one for each message and level."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._buckets: dict[tuple[str, int], tuple[float, float]] = {}

    def allow(self, record: logging.LogRecord) -> bool:
        """Take a token for the message and level of *record*; return whether one was left."""
        is_important = record.levelno >= logging.WARNING or getattr(record, "important", False)
        rate = IMPORTANT_LINES_PER_S if is_important else LINES_PER_S
        now = self._now()
        key = (str(record.msg), record.levelno)
        tokens, updated_at = self._buckets.get(key, (2 * rate, now))
        tokens = min(2 * rate, tokens + rate * (now - updated_at))
        is_allowed = tokens >= 1.0
        self._buckets[key] = (tokens - 1.0 if is_allowed else tokens, now)
        return is_allowed


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for its reader.

    Lines that cannot be written at once are kept in a bounded buffer. Lines that do not fit in the
    buffer are dropped and counted, and a later line reports the counts.
    """

    def __init__(self, descriptor: int, rate_limiter: LineRateLimiter | None = None) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped: Counter[str] = Counter()
        """Number of lines dropped since the last summary, by message."""
        self._descriptor = descriptor
        self._rate_limiter = rate_limiter or LineRateLimiter()
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._is_retry_scheduled = False
        self._is_summary_scheduled = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write or buffer *record*, or drop and count it."""
        if not self._rate_limiter.allow(record):
            self._drop(record)
            return
        line = self.format(record).encode() + b"\n"
        if self._pending_bytes + len(line) > MAX_BUFFER_BYTES:
            self._drop(record)
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        self._write()

    def _drop(self, record: logging.LogRecord) -> None:
        self.dropped[str(record.msg)] += 1
        if not self._is_summary_scheduled:
            self._is_summary_scheduled = True
            gevent.spawn_later(SUMMARY_INTERVAL_S, self._summarize)

    def _summarize(self) -> None:
        self._is_summary_scheduled = False
        fields = {"by_message": dict(self.dropped)}
        self.dropped.clear()
        extra = {"fields": fields, "important": True}
        logging.getLogger(__name__).info("log lines were dropped", extra=extra)

    def _write(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                count = os.write(self._descriptor, line)
            except BlockingIOError:
                self._retry_later()
                return
            except OSError:
                # The reader has closed the pipe, so buffered lines can never be written.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= count
            if count < len(line):
                self._pending[0] = line[count:]
                self._retry_later()
                return
            self._pending.popleft()

    def _retry_later(self) -> None:
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            gevent.spawn_later(RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        self._is_retry_scheduled = False
        self._write()
