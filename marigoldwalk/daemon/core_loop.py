"""The event loop that runs the core in one greenlet."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

import gevent
from gevent.event import Event as Signal

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Sequence

    from ..core.actions import Action
    from ..core.events import Event
    from ..util.clock import Clock

    Execute = Callable[[Action], None]

logger = logging.getLogger(__name__)


class SteppableCore(Protocol):
    """The interface of the core that the loop uses."""

    def step(self, now: float, events: Sequence[Event]) -> list[Action]:
        """Process *events* and return the resulting actions."""

    def next_wakeup(self) -> float | None:
        """Return when the next step is due in Unix seconds, or ``None`` if no timer is set."""


class CoreLoop:
    """Runs the core's steps in one greenlet.

    The I/O layer calls :meth:`post` from any greenlet. All events posted since the last step are
    passed to the core as one batch. Between two steps, the loop lets other greenlets run and
    sleeps until the core's next timer or a new event.

    An exception while an action is executed is logged and counted, and the loop continues. An
    exception in a step may leave the core's tables inconsistent, so the loop ends and sets
    ``failed``.
    """

    def __init__(
        self, core: SteppableCore, clock: Clock, execute: Execute, counters: Counter[str]
    ) -> None:
        self.failed = False
        self._counters = counters
        self._core = core
        self._clock = clock
        self._execute = execute
        self._events: list[Event] = []
        self._wake = Signal()
        self._stopping = False

    def post(self, event: Event) -> None:
        """Queue *event* for the core's next step."""
        self._events.append(event)
        self._wake.set()

    def stop(self) -> None:
        """End the loop after the current step."""
        self._stopping = True
        self._wake.set()

    def drain_events(self) -> list[Event]:
        """Remove and return the events posted since the last step."""
        events, self._events = self._events, []
        return events

    def run(self) -> None:
        """Run steps until :meth:`stop` is called or a step fails."""
        while not self._stopping:
            actions = self._step()
            if actions is None:
                return
            for action in actions:
                self._try_to_execute(action)
            self._sleep()

    def _step(self) -> list[Action] | None:
        events = self.drain_events()
        self._wake.clear()
        try:
            actions = self._core.step(self._clock.now(), events)
        except Exception:
            self.failed = True
            self._counters["core.failure"] += 1
            logger.exception("a step of the core raised an exception")
            return None
        self._counters["core.step"] += 1
        self._counters["core.event"] += len(events)
        return actions

    def _try_to_execute(self, action: Action) -> None:
        try:
            self._execute(action)
        except Exception:
            self._counters["core.action_failure"] += 1
            logger.exception(
                "executing an action of type %s raised an exception", type(action).__name__
            )

    def _sleep(self) -> None:
        wakeup = self._core.next_wakeup()
        delay_s = None if wakeup is None else wakeup - self._clock.now()
        if self._events or self._stopping or (delay_s is not None and delay_s <= 0):
            gevent.sleep(0)
        else:
            self._wake.wait(delay_s)
