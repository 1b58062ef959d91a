"""The engine: hands events to systems and collects their actions."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, TypeVar

from .world import World

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..config.acceptance import Verdict
    from .actions import Action
    from .events import Event
    from .parameters import Parameters
    from .world import Identity

    Handler = Callable[[World, Any], None]
    Sweep = Callable[[World], None]
    AnyEvent = Any
    H = TypeVar("H", bound=Handler)
    S = TypeVar("S", bound=Sweep)

_handlers: dict[type, list[Handler]] = {}
_message_handlers: dict[type, list[Handler]] = {}
_starters: list[Sweep] = []
_before_tick: list[Sweep] = []
_sweeps: list[Sweep] = []


def on(kind: type) -> Callable[[H], H]:
    """Register a system's handler for one kind of event or timer."""

    def decorate(handler: H) -> H:
        _handlers.setdefault(kind, []).append(handler)
        return handler

    return decorate


def on_message(kind: type) -> Callable[[H], H]:
    """Register a handler for one kind of peer message; it gets the ``PeerReceived`` event."""

    def decorate(handler: H) -> H:
        _message_handlers.setdefault(kind, []).append(handler)
        return handler

    return decorate


def at_start(starter: S) -> S:
    """Register a function that runs in the first step."""
    _starters.append(starter)
    return starter


def before_events(sweep: S) -> S:
    """Register a function that runs before the events of each step."""
    _before_tick.append(sweep)
    return sweep


def after_events(sweep: S) -> S:
    """Register a function that runs after the events of each step."""
    _sweeps.append(sweep)
    return sweep


def message_handlers(kind: type) -> Sequence[Handler]:
    """Return the handlers of one kind of peer message."""
    return _message_handlers.get(kind, ())


class Core:
    """The decisions of one daemon.

    ::

        core = Core(identity, parameters, accept)
        for action in core.step(now, [QueryReceived(...)]):
            perform(action)
        sleep_until(core.next_wakeup())
    """

    def __init__(
        self, identity: Identity, parameters: Parameters, accept: Callable[[str], Verdict]
    ) -> None:
        self.world = World(identity=identity, parameters=parameters, accept=accept)
        self._started = False

    def step(self, now: float, events: Sequence[Event]) -> list[Action]:
        """Handle *events* at *now* (Unix seconds) and return the actions that follow."""
        world = self.world
        world.now = max(now, world.now)
        if not self._started:
            self._started = True
            world.daemon_state.last_step_at = world.now
            for starter in _starters:
                starter(world)
        for sweep in _before_tick:
            sweep(world)
        pending: deque[AnyEvent] = deque(events)
        pending.extend(world.due_timers())
        self._drain(pending)
        for sweep in _sweeps:
            sweep(world)
            self._drain(pending)
        actions, world.actions = world.actions, []
        return actions

    def next_wakeup(self) -> float | None:
        """Return when the core wants its next step, in Unix seconds."""
        return self.world.next_timer_at()

    def _drain(self, pending: deque[AnyEvent]) -> None:
        world = self.world
        while pending or world.inbox:
            # What systems tell each other comes first, so that no event meets tables that lag
            # behind a change of the configuration.
            event = world.inbox.popleft() if world.inbox else pending.popleft()
            for handler in _handlers.get(type(event), ()):
                handler(world, event)
