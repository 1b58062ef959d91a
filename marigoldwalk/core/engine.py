"""The engine: passes events to the registered systems and collects their actions."""

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
    StepHook = Callable[[World], None]
    AnyEvent = Any
    H = TypeVar("H", bound=Handler)
    S = TypeVar("S", bound=StepHook)

_handlers: dict[type, list[Handler]] = {}
_message_handlers: dict[type, list[Handler]] = {}
_start_hooks: list[StepHook] = []
_before_events: list[StepHook] = []
_after_events: list[StepHook] = []


def on(kind: type) -> Callable[[H], H]:
    """Register a handler for one type of event or timer."""

    def decorate(handler: H) -> H:
        _handlers.setdefault(kind, []).append(handler)
        return handler

    return decorate


def on_message(kind: type) -> Callable[[H], H]:
    """Register a handler for one type of peer message; it receives the ``PeerReceived`` event."""

    def decorate(handler: H) -> H:
        _message_handlers.setdefault(kind, []).append(handler)
        return handler

    return decorate


def at_start(hook: S) -> S:
    """Register a function that runs in the first step."""
    _start_hooks.append(hook)
    return hook


def before_events(hook: S) -> S:
    """Register a function that runs before the events of each step."""
    _before_events.append(hook)
    return hook


def after_events(hook: S) -> S:
    """Register a function that runs after the events of each step."""
    _after_events.append(hook)
    return hook


def message_handlers(kind: type) -> Sequence[Handler]:
    """Return the handlers of one type of peer message."""
    return _message_handlers.get(kind, ())


class Core:
    """The decision logic of one daemon.

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
        """Handle *events* at *now* (Unix seconds) and return the resulting actions."""
        world = self.world
        world.now = max(now, world.now)
        if not self._started:
            self._started = True
            world.daemon_state.last_step_at = world.now
            for hook in _start_hooks:
                hook(world)
        for hook in _before_events:
            hook(world)
        pending: deque[AnyEvent] = deque(events)
        pending.extend(world.due_timers())
        self._drain(pending)
        for hook in _after_events:
            hook(world)
            self._drain(pending)
        actions, world.actions = world.actions, []
        return actions

    def next_wakeup(self) -> float | None:
        """Return when the next step is due, in Unix seconds, or ``None`` if no timer is set."""
        return self.world.next_timer_at()

    def _drain(self, pending: deque[AnyEvent]) -> None:
        world = self.world
        while pending or world.inbox:
            # Internal events come first, so that no external event is handled with tables that do
            # not yet reflect a change of the configuration.
            event = world.inbox.popleft() if world.inbox else pending.popleft()
            for handler in _handlers.get(type(event), ()):
                handler(world, event)
