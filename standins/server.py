"""A stand-in backend server with snapshots, slots, cold starts, drains and crashes."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

import gevent

from marigoldwalk.util.hashing import stable_hash

from . import search
from .data import Layout
from .journal import Crash, Journal, Overload
from .subrequests import Incarnation, State

if TYPE_CHECKING:
    from collections.abc import Callable

    from .behaviour import Behaviour, Control, ServerSpec
    from .data import Dataset, Record
    from .subrequests import ActiveSubrequest, Subrequest

RESTART_DOWN_S = 0.2
MIN_RETRY_AFTER_MS = 1

CANCEL_TIMEOUT_S = 1.0
"""Longest wait for a cancelled subrequest to end."""


class BackendServer:
    """A backend server without its sockets.

    ``stop_listening`` and ``start_listening`` are called to close and reopen its listener.
    """

    def __init__(
        self,
        spec: ServerSpec,
        data: Dataset,
        behaviour: Behaviour,
        stop_listening: Callable[[], None] = lambda: None,
        start_listening: Callable[[], None] = lambda: None,
    ) -> None:
        self.spec = spec
        self.behaviour = behaviour
        self.journal = Journal()
        self.up = True
        self._data = data
        self._stop_listening = stop_listening
        self._start_listening = start_listening
        self._random = random.Random(stable_hash(str(data.seed), spec.name))
        self._health: dict[str, Any] = {}
        self._health_updated_at = 0.0
        self._incarnation_count = 0
        self.incarnation = self._new_incarnation()
        self._preload_snapshots()

    def search(self, req: Subrequest, active: ActiveSubrequest) -> dict[str, Any]:
        """Handle one subrequest and return its reply; blocks while it waits or runs."""
        self.journal.record_arrival(time.time(), req.attempt)
        incarnation = self.incarnation
        records = self._records(req)
        if self.behaviour.draining:
            return self._reply(State.DRAINING, req)
        if records is None:
            return self._reply(State.SNAPSHOT_GONE, req)
        if active.remaining_s() <= 0 or req.attempt in incarnation.cancelled_early:
            return self._reply(State.EXPIRED, req)
        self._record_load(incarnation, active)
        incarnation.subrequests[req.attempt] = active
        try:
            refusal = self._acquire_slot(incarnation, active)
            if refusal is not None:
                return self._reply(refusal, req)
            return self._run(incarnation, req, records, active)
        finally:
            incarnation.subrequests.pop(req.attempt, None)
            active.ended.set()

    def cancel(self, attempt: str) -> bool:
        """Cancel a subrequest, wait for its end and return whether it was found and has ended."""
        active = self.incarnation.subrequests.get(attempt)
        if active is None:
            # The subrequest may not have been read from its own connection yet.
            self.incarnation.cancelled_early.append(attempt)
            return False
        active.cancel()
        return active.ended.wait(CANCEL_TIMEOUT_S)

    def health(self) -> dict[str, Any]:
        """Return the health reply, delayed and overridden as the behaviour specifies."""
        now = time.time()
        if not self._health or now - self._health_updated_at >= self.behaviour.health_lag_s:
            self._health, self._health_updated_at = self._current_health(), now
        return {**self._health, **self.behaviour.health_lie}

    def control(self, change: Control) -> None:
        """Apply a control request: change the behaviour, crash, restart or warm up."""
        self.behaviour = change.applied_to(self.behaviour)
        self._preload_snapshots()
        if change.warm:
            self.incarnation.cold = False
        if change.crash:
            self.crash("control")
        elif change.restart:
            self._go_down(RESTART_DOWN_S)

    def crash(self, cause: str) -> None:
        """Go down immediately for ``down_s`` seconds and come back cold."""
        if self.up:
            self.journal.deaths.append(Crash(time.time(), cause))
            self._go_down(self.behaviour.down_s)

    def _go_down(self, down_s: float) -> None:
        if not self.up:
            return
        self.up = False
        self.incarnation = self._new_incarnation()
        # Another greenlet closes the connections, because this one may be serving one of them.
        gevent.spawn(self._stop_listening)
        gevent.spawn_later(down_s, self._come_up)

    def _come_up(self) -> None:
        self.incarnation = self._new_incarnation()
        self._health = {}
        self.up = True
        self._start_listening()

    def _preload_snapshots(self) -> None:
        """Generate the data in advance, so that no subrequest waits for it."""
        for number, count in self.behaviour.snapshots.items():
            self._data.shards(Layout(self.spec.index, number, count))

    def _new_incarnation(self) -> Incarnation:
        cold = self.behaviour.cold_runs_count > 0
        self._incarnation_count += 1
        return Incarnation(f"{self.spec.name}/{time.time():.3f}/{self._incarnation_count}", cold)

    def _records(self, req: Subrequest) -> list[Record] | None:
        """Return the records of the requested shards, or ``None`` if one is not held here."""
        held = self._held_shards(req.snapshot)
        if req.index != self.spec.index or not req.shards or not set(req.shards) <= set(held):
            return None
        layout = Layout(req.index, req.snapshot, self.behaviour.snapshots[req.snapshot])
        return [record for shard in req.shards for record in self._data.shard(layout, shard)]

    def _held_shards(self, snapshot: int) -> range:
        count = self.behaviour.snapshots.get(snapshot, 0)
        return range(self.spec.service_ordinal, count, self.spec.service_count)

    def _record_load(self, incarnation: Incarnation, active: ActiveSubrequest) -> None:
        count = incarnation.subrequest_count() + 1
        self.journal.held_peak = max(self.journal.held_peak, count)
        if count > (1 if incarnation.cold else self.spec.slots):
            attempts = tuple(str(each) for each in (*incarnation.subrequests.values(), active))
            self.journal.crowds.append(Overload(time.time(), incarnation.cold, attempts))
        if not incarnation.cold:
            return
        self.journal.cold_peak = max(self.journal.cold_peak, count)
        if count > 1:
            self.journal.cold_overloads += 1
        if 0 < self.behaviour.cold_crash_count <= count:
            self._crash_during_request("load while cold")

    def _acquire_slot(self, incarnation: Incarnation, active: ActiveSubrequest) -> State | None:
        """Acquire a slot, queueing if necessary, or return the state to reply with."""
        slots = 1 if incarnation.cold else self.spec.slots
        if incarnation.running < slots:
            incarnation.running += 1
            return None
        if not incarnation.cold:
            self.journal.over_slots += 1
        if len(incarnation.waiting) >= self.behaviour.queue_count:
            return State.SHED
        incarnation.waiting.append(active)
        active.wake.wait(active.remaining_s())
        if active.has_slot and not active.cancelled and incarnation is self.incarnation:
            active.wake.clear()
            return None
        if active.has_slot:
            self._release_slot(incarnation)
        else:
            incarnation.waiting.remove(active)
        return State.EXPIRED

    def _release_slot(self, incarnation: Incarnation) -> None:
        """Release a slot and pass free slots to waiting subrequests."""
        slots = 1 if incarnation.cold else self.spec.slots
        incarnation.running -= 1
        while incarnation.waiting and incarnation.running < slots:
            active = incarnation.waiting.popleft()
            incarnation.running += 1
            active.has_slot = True
            active.wake.set()

    def _run(
        self,
        incarnation: Incarnation,
        req: Subrequest,
        records: list[Record],
        active: ActiveSubrequest,
    ) -> dict[str, Any]:
        self.journal.record_run(time.time(), req.request_id, incarnation.running)
        try:
            marker = self.behaviour.crash_marker
            if marker and marker in repr(req.body):
                self._crash_during_request("request")
            service_s = self.behaviour.draw_service_s(self._random, incarnation.cold)
            active.wake.wait(max(0.0, min(service_s, active.remaining_s())))
            if active.cancelled or active.remaining_s() <= 0:
                return self._reply(State.FAILED, req)
            hits = search.search(self.spec.index, records, req.body, req.limit)
            return self._reply(State.DONE, req, hits)
        except search.InvalidBody:
            return self._reply(State.FAILED, req)
        finally:
            incarnation.runs_done += 1
            if incarnation.runs_done >= self.behaviour.cold_runs_count:
                incarnation.cold = False
            self._release_slot(incarnation)

    def _crash_during_request(self, cause: str) -> None:
        """Crash while handling a request and block until its connection is reset."""
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

    def _current_health(self) -> dict[str, Any]:
        incarnation = self.incarnation
        holdings = [
            {"snapshot": number, "shard_count": count, "shards": list(self._held_shards(number))}
            for number, count in sorted(self.behaviour.snapshots.items())
        ]
        return {
            "incarnation": incarnation.name,
            "draining": self.behaviour.draining,
            "cold": incarnation.cold,
            "load": incarnation.running / self.spec.slots,
            "holdings": holdings,
        }
