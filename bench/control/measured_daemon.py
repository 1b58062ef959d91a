"""The daemon whose cost is measured: a real core and message codec, without sockets."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from marigoldwalk.core.actions import SendPeer
from marigoldwalk.core.composition import Core
from marigoldwalk.core.events import PeerReceived
from marigoldwalk.core.parameters import Parameters
from marigoldwalk.core.world import Identity
from marigoldwalk.wire.codec import LENGTH_PREFIX, Envelope, decode, encode

from .layouts import accept_any_size
from .meter import Meter

if TYPE_CHECKING:
    from marigoldwalk.core.actions import Action
    from marigoldwalk.core.events import Event, Instance


class MeasuredDaemon:
    """Runs a core in virtual time and measures each step by the kind of its events.

    Events that arrive together are passed to the core in one step per kind. Peer messages are
    encoded and decoded as in a real daemon; a message that is sent to many daemons is encoded
    only once. Sockets are not included.
    """

    def __init__(self, instance: Instance, started_at: float) -> None:
        identity = Identity(instance.name, instance.domain, instance.address, started_at)
        self.name = instance.name
        self.core = Core(identity, Parameters(), accept_any_size)
        self.meter = Meter()
        self.metered = True
        self._last_message: object = None
        self._last_frame = b""

    def deliver(self, now: float, events: list[Event]) -> list[Action]:
        """Run the timers that are due, process *events* and return the resulting actions."""
        actions: list[Action] = []
        wakeup = self.core.next_wakeup()
        if wakeup is not None and wakeup <= now:
            with self.meter.timed("timers"):
                actions += self.core.step(now, ())
        for kind, batch in self._by_kind(events).items():
            with self.meter.timed(kind):
                actions += self.core.step(now, batch)
        if self.metered:
            self._send(actions)
        return actions

    def _by_kind(self, events: list[Event]) -> dict[str, list[Event]]:
        batches: dict[str, list[Event]] = defaultdict(list)
        for event in events:
            if not isinstance(event, PeerReceived):
                batches[type(event).__name__].append(event)
                continue
            kind = type(event.message).__name__
            batches[kind].append(self._receive(kind, event) if self.metered else event)
        return batches

    def _receive(self, kind: str, event: PeerReceived) -> PeerReceived:
        frame = encode(Envelope(event.sender, event.message))
        with self.meter.timed(f"decode {kind}"):
            envelope = decode(frame[LENGTH_PREFIX.size :])
        self.meter.messages_in[kind] += 1
        self.meter.bytes_in[kind] += len(frame)
        return PeerReceived(envelope.sender, envelope.message)

    def _send(self, actions: list[Action]) -> None:
        for action in actions:
            if not isinstance(action, SendPeer):
                continue
            kind = type(action.message).__name__
            if action.message is not self._last_message:
                with self.meter.timed(f"encode {kind}"):
                    self._last_frame = encode(Envelope(self.name, action.message))
                self._last_message = action.message
            self.meter.messages_out[kind] += 1
            self.meter.bytes_out[kind] += len(self._last_frame)
