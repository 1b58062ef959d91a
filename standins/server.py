"""A stand-in for a backend server: snapshots, slots, cold starts, drains and crashes."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

import gevent

from marigoldwalk.util.hashing import stable_hash

from . import search
from .data import Layout
from .journal import Death, Journal, Overload
from .subrequests import Incarnation, State

if TYPE_CHECKING:
    from collections.abc import Callable

    from .behaviour import Behaviour, Control, ServerSpec
    from .data import Dataset, Record
    from .subrequests import Subrequest, Ticket

RESTART_DOWN_S = 0.2
MIN_RETRY_AFTER_MS = 1

CANCEL_S = 1.0
"""Longest wait for a cancelled subrequest to end."""


class BackendServer:
    """One backend server without its sockets.

    ``vanish`` and ``appear`` are called to close and reopen its listener.
    """

    def __init__(
        self,
        spec: ServerSpec,
        data: Dataset,
        behaviour: Behaviour,
        vanish: Callable[[], None] = lambda: None,
        appear: Callable[[], None] = lambda: None,
    ) -> None:
        self.spec = spec
        self.behaviour = behaviour
        self.journal = Journal()
        self.up = True
        self._data = data
        self._vanish = vanish
        self._appear = appear
        self._random = random.Random(stable_hash(str(data.seed), spec.name))
        self._health: dict[str, Any] = {}
        self._health_read_at = 0.0
        self._births = 0
        self.incarnation = self._new_incarnation()
        self._load_snapshots()

    def search(self, req: Subrequest, ticket: Ticket) -> dict[str, Any]:
        """Handle one subrequest and return its reply; blocks while it waits and runs."""
        self.journal.record_arrival(time.time(), req.attempt)
        life = self.incarnation
        records = self._records(req)
        if self.behaviour.draining:
            return self._reply(State.DRAINING, req)
        if records is None:
            return self._reply(State.SNAPSHOT_GONE, req)
        if ticket.left_s() <= 0 or req.attempt in life.cancelled_early:
            return self._reply(State.EXPIRED, req)
        self._note_load(life, ticket)
        life.tickets[req.attempt] = ticket
        try:
            refused = self._enter(life, ticket)
            if refused is not None:
                return self._reply(refused, req)
            return self._run(life, req, records, ticket)
        finally:
            life.tickets.pop(req.attempt, None)
            ticket.gone.set()

    def cancel(self, attempt: str) -> bool:
        """Cancel a subrequest, wait until it has ended, and return whether it was here."""
        ticket = self.incarnation.tickets.get(attempt)
        if ticket is None:
            # The subrequest may still wait unread on its own connection.
            self.incarnation.cancelled_early.append(attempt)
            return False
        ticket.cancel()
        return ticket.gone.wait(CANCEL_S)

    def health(self) -> dict[str, Any]:
        """Return the health reply, as old and as untrue as the behaviour says."""
        now = time.time()
        if not self._health or now - self._health_read_at >= self.behaviour.health_lag_s:
            self._health, self._health_read_at = self._true_health(), now
        return {**self._health, **self.behaviour.health_lie}

    def control(self, change: Control) -> None:
        """Change the behaviour, crash, restart or warm up."""
        self.behaviour = change.applied_to(self.behaviour)
        self._load_snapshots()
        if change.warm:
            self.incarnation.cold = False
        if change.crash:
            self.crash("control")
        elif change.restart:
            self._fall(RESTART_DOWN_S)

    def crash(self, cause: str) -> None:
        """Go down at once, for the behaviour's time, and come back cold."""
        if self.up:
            self.journal.deaths.append(Death(time.time(), cause))
            self._fall(self.behaviour.down_s)

    def _fall(self, down_s: float) -> None:
        if not self.up:
            return
        self.up = False
        self.incarnation = self._new_incarnation()
        # Another greenlet closes the connections, since the present one may belong to one of them.
        gevent.spawn(self._vanish)
        gevent.spawn_later(down_s, self._rise)

    def _rise(self) -> None:
        self.incarnation = self._new_incarnation()
        self._health = {}
        self.up = True
        self._appear()

    def _load_snapshots(self) -> None:
        """Make the data beforehand, so that no subrequest waits for it."""
        for number, count in self.behaviour.snapshots.items():
            self._data.shards(Layout(self.spec.index, number, count))

    def _new_incarnation(self) -> Incarnation:
        cold = self.behaviour.cold_runs_count > 0
        self._births += 1
        return Incarnation(f"{self.spec.name}/{time.time():.3f}/{self._births}", cold)

    def _records(self, req: Subrequest) -> list[Record] | None:
        """Return the records of the shards asked for, or ``None`` without one of them."""
        held = self._held_shards(req.snapshot)
        if req.index != self.spec.index or not req.shards or not set(req.shards) <= set(held):
            return None
        layout = Layout(req.index, req.snapshot, self.behaviour.snapshots[req.snapshot])
        return [record for shard in req.shards for record in self._data.shard(layout, shard)]

    def _held_shards(self, snapshot: int) -> range:
        count = self.behaviour.snapshots.get(snapshot, 0)
        return range(self.spec.service_ordinal, count, self.spec.service_count)

    def _note_load(self, life: Incarnation, ticket: Ticket) -> None:
        held = life.held() + 1
        self.journal.held_peak = max(self.journal.held_peak, held)
        if held > (1 if life.cold else self.spec.slots):
            attempts = tuple(str(known) for known in (*life.tickets.values(), ticket))
            self.journal.crowds.append(Overload(time.time(), life.cold, attempts))
        if not life.cold:
            return
        self.journal.cold_peak = max(self.journal.cold_peak, held)
        if held > 1:
            self.journal.cold_overloads += 1
        if 0 < self.behaviour.cold_crash_count <= held:
            self._crash_under("load while cold")

    def _enter(self, life: Incarnation, ticket: Ticket) -> State | None:
        """Take a slot, waiting in the queue if need be, or return why not."""
        slots = 1 if life.cold else self.spec.slots
        if life.running < slots:
            life.running += 1
            return None
        if not life.cold:
            self.journal.over_slots += 1
        if len(life.waiting) >= self.behaviour.queue_count:
            return State.SHED
        life.waiting.append(ticket)
        ticket.wake.wait(ticket.left_s())
        if ticket.granted and not ticket.cancelled and life is self.incarnation:
            ticket.wake.clear()
            return None
        if ticket.granted:
            self._leave(life)
        else:
            life.waiting.remove(ticket)
        return State.EXPIRED

    def _leave(self, life: Incarnation) -> None:
        """Give a slot back, or hand it to the next one waiting."""
        slots = 1 if life.cold else self.spec.slots
        life.running -= 1
        while life.waiting and life.running < slots:
            ticket = life.waiting.popleft()
            life.running += 1
            ticket.granted = True
            ticket.wake.set()

    def _run(
        self, life: Incarnation, req: Subrequest, records: list[Record], ticket: Ticket
    ) -> dict[str, Any]:
        self.journal.record_run(time.time(), req.request_id, life.running)
        try:
            marker = self.behaviour.crash_marker
            if marker and marker in repr(req.body):
                self._crash_under("request")
            service_s = self.behaviour.draw_service_s(self._random, life.cold)
            ticket.wake.wait(max(0.0, min(service_s, ticket.left_s())))
            if ticket.cancelled or ticket.left_s() <= 0:
                return self._reply(State.FAILED, req)
            hits = search.search(self.spec.index, records, req.body, req.limit)
            return self._reply(State.DONE, req, hits)
        except search.BadBody:
            return self._reply(State.FAILED, req)
        finally:
            life.runs_done += 1
            if life.runs_done >= self.behaviour.cold_runs_count:
                life.cold = False
            self._leave(life)

    def _crash_under(self, cause: str) -> None:
        """Crash while handling a request, which then ends with its connection."""
        self.crash(cause)
        gevent.sleep(self.behaviour.down_s + 60.0)

    def _reply(
        self, state: State, req: Subrequest, hits: list[search.Hit] | None = None
    ) -> dict[str, Any]:
        self.journal.outcomes[state.value] += 1
        done = state is State.DONE
        refused = state in (State.SHED, State.DRAINING)
        retry_after_ms = max(MIN_RETRY_AFTER_MS, self.behaviour.retry_after_ms) if refused else 0
        return {
            "state": state.value,
            "incarnation": self.incarnation.name,
            "snapshot": req.snapshot if done else 0,
            "shards": req.shards if done else (),
            "hits": [{"key": hit.key, "score": hit.score, "body": hit.body} for hit in hits or ()],
            "retry_after_ms": retry_after_ms,
        }

    def _true_health(self) -> dict[str, Any]:
        life = self.incarnation
        holdings = [
            {"snapshot": number, "shard_count": count, "shards": list(self._held_shards(number))}
            for number, count in sorted(self.behaviour.snapshots.items())
        ]
        return {
            "incarnation": life.name,
            "draining": self.behaviour.draining,
            "cold": life.cold,
            "load": life.running / self.spec.slots,
            "holdings": holdings,
        }
