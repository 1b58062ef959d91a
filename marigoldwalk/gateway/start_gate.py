"""Holds callers' requests until the first configuration has been read."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gevent.event import Event

from ..routing.first_read import FirstRead

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

logger = logging.getLogger(__name__)


class StartGate:
    """Closed while the store is read for the first time, then open for good.

    ::

        gate = StartGate(now, counters)
        gate.wait()  # for each request
        gate.open("the configuration is known")
    """

    def __init__(self, now: Callable[[], float], counters: Counter[str]) -> None:
        self._now = now
        self._counters = counters
        self._first_read = FirstRead(now())
        self._opened = Event()

    def open(self, why: str) -> None:
        """Let all requests pass from now on; calls after the first have no effect."""
        if self._first_read.has_ended:
            return
        self._first_read.has_ended = True
        self._opened.set()
        fields = {"why": why, "held": self._counters["start.held"]}
        logger.info("requests are no longer held", extra={"fields": fields})

    def wait(self) -> None:
        """Return when the request of the calling greenlet may pass."""
        hold_s = self._first_read.hold_s(self._now())
        if hold_s > 0.0:
            self._counters["start.held"] += 1
            self._opened.wait(hold_s)
