"""Reads the platform's store: a full snapshot, then successive watches (long polls)."""

from __future__ import annotations

import logging
import random
from dataclasses import replace
from math import isfinite
from typing import TYPE_CHECKING

import gevent

from ..routing.era_change import SETTLE_S, EraChange
from ..routing.held_registrations import HeldRegistrations
from ..routing.outages import Outages
from .store_interface import (
    UNKNOWN_ERA,
    ConfigUpdate,
    DomainUpdate,
    EarlierEraError,
    EraChangedError,
    HistoryLostError,
    ServerRemoved,
    ServerUpdate,
    StoreError,
    StoreRefusedError,
)

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from ..config.view import Address
    from ..routing.catalog import Catalog
    from ..routing.model import Registration
    from ..routing.readers import Readers
    from .store_interface import Store, StoreUpdate, UpdateBatch

logger = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 1.0
"""Timeout of one watch. It bounds how long a lost response or a dead connection goes unnoticed, and
so the age of a mirror."""
MIRROR_WATCH_TIMEOUT_S = 0.8
"""The same for a watch of a reader's mirror. These calls are not billed."""
MAX_MIRROR_AGE_S = 1.6
"""Maximum age at which this daemon's mirror is served to others: one watch and its response.
Together with a follower's own watch it stays below the 3 s within which a configuration must be in
force."""
COALESCE_S = 0.1
"""Pause after a change, so that changes in quick succession share one call."""
MAX_COALESCE_S = 0.35
"""Maximum pause while changes continue, for example when an index is resharded. Each call to the
store is billed, and this is a tenth of the time within which a change must be in force."""
COALESCE_GROWTH = 1.4
BURST_GAP_S = 1.0
"""Maximum time between two changes of the same burst."""
STARTUP_COALESCE_S = 0.5
STARTUP_S = 3.0
"""Time after a start during which the pause is ``STARTUP_COALESCE_S``: until gossip has discovered
the readers, every daemon watches the store itself."""
MIN_BACKOFF_S = 0.3
MAX_BACKOFF_S = 1.5
"""Maximum backoff; a recovery must be detected well within the stability time of 4 s after a
fault."""
READER_RETRY_S = 0.3
"""Maximum pause before a reader is asked again while none answers. These calls are not billed, and
a longer pause would add to the time in which the readers notice that the store is back."""
STOP_TIMEOUT_S = 0.2
"""Time for the greenlet to end at a stop; it ends at its next context switch."""


class StoreWatcher:
    """Keeps the catalog up to date from a greenlet of its own."""

    def __init__(
        self,
        store: Store,
        readers: Readers,
        catalog: Catalog,
        now: Callable[[], float],
        counters: Counter[str],
        on_first_read: Callable[[str], None] = lambda why: None,
    ) -> None:
        self.era = UNKNOWN_ERA
        self.revision = 0
        self.confirmed_at = float("-inf")
        """When the store itself last answered."""
        self._store = store
        self._mirrors: dict[Address, Store] = {}
        self._source: Address | None = None
        """The reader of the last call; ``None`` for the store itself."""
        self._readers = readers
        self._catalog = catalog
        self._now = now
        self._counters = counters
        self._on_first_read = on_first_read
        """Called with the outcome of a read; calls after the first have no effect."""
        self._excluded: set[str] = set()
        self._era_change = EraChange()
        self._held = HeldRegistrations()
        self._silent_s = 0.0
        """Time between the last two answers of any source, a bound on the age of the last news."""
        self._outages = Outages()
        self._is_unavailable = False
        self._has_snapshot = False
        self._backoff_s = MIN_BACKOFF_S
        self._coalesce_s = COALESCE_S
        self._started_at = now()
        self._changed_at = float("-inf")
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the greenlet and close all connections."""
        if self._greenlet is not None:
            # A connection must not be closed while the greenlet reads from it.
            self._greenlet.kill(timeout=STOP_TIMEOUT_S)
        self._store.close()
        for mirror in self._mirrors.values():
            mirror.close()

    def is_fresh(self) -> bool:
        """Return whether the store itself has confirmed this daemon's data recently."""
        return self._now() - self.confirmed_at < MAX_MIRROR_AGE_S

    def poll(self) -> None:
        """Read a full snapshot, or watch once if there is one; raises ``StoreError``.

        The first read goes to the store, since a daemon that starts knows no others yet. If the
        store does not answer it, the others may have been found meanwhile.
        """
        may_follow = self._has_snapshot or self._is_unavailable
        address = self._readers.choose(self._now()) if may_follow else None
        is_new_source = address != self._source
        self._source = address
        if address is None:
            self._poll_store(self._store)
            return
        mirror = self._mirrors.get(address)
        if mirror is None:
            mirror = self._mirrors[address] = self._store.mirror_at(address)
        try:
            self._poll_mirror(mirror, 0.0 if is_new_source else MIRROR_WATCH_TIMEOUT_S)
        except StoreError as exc:
            self._count_earlier_era(exc)
            self._counters["store.reader_failed"] += 1
            is_silent = not isinstance(exc, (StoreRefusedError, EarlierEraError))
            self._readers.record_failure(address, self._now(), is_silent)
            self._outages.record_failure(is_silent_reader=is_silent)
            fields = {"reader": str(address), "why": str(exc), "news_age_s": self._news_age_s()}
            logger.info("store mirror is not responding", extra={"fields": fields})
            self._pause_if_all_readers_failed()
        else:
            self._record_confirmed(self._now() - MAX_MIRROR_AGE_S)

    def _pause_if_all_readers_failed(self) -> None:
        now = self._now()
        reader = self._readers.choose(now)
        if reader is not None and self._readers.is_avoided(reader, now):
            gevent.sleep(READER_RETRY_S * random.uniform(0.7, 1.0))

    def _poll_mirror(self, mirror: Store, wait_s: float) -> None:
        """Watch *mirror*; a new source is asked without a wait, since it may be silent as well.

        Load pattern: several readers lose power at the same moment. A daemon that waited for each
        of them in turn would follow a change too late.
        """
        if not self._has_snapshot:
            self._read(mirror)
            return
        try:
            self._watch(mirror, wait_s)
        except EraChangedError:
            # The store's history does not reach back into the earlier era either.
            self._read(mirror)
        except HistoryLostError:
            self._catch_up(mirror)

    def _catch_up(self, mirror: Store) -> None:
        """Catch up with a mirror that no longer has the changes since this daemon's revision.

        One watch of the store closes the gap. If the store's own history is gone too, the mirror
        is read, since all followers catch up at the same moment.
        """
        try:
            self._watch(self._store, 0.0)
        except HistoryLostError:
            self._counters["store.history_lost"] += 1
            self._read(mirror)
        else:
            self._record_response()

    def _poll_store(self, store: Store) -> None:
        try:
            if self._has_snapshot:
                self._watch(store)
            else:
                self._read(store)
        except HistoryLostError as exc:
            self._counters["store.history_lost"] += 1
            fields = {"why": str(exc)}
            logger.info(
                "store history no longer available; reading a full snapshot",
                extra={"fields": fields},
            )
            self._read(store)
        self._record_response()

    def _read(self, store: Store) -> None:
        batch = store.read()
        if self._has_snapshot and batch.era > self.era:
            self._begin_era(batch.era)
        self._record_answer(batch)
        # What is still in the store is held again.
        self._held.clear()
        self._remove_absent(batch.updates)
        self._apply(self._without_outdated(batch))
        self._has_snapshot = True
        logger.info("full snapshot of the store read", extra={"fields": self._state()})
        self._on_first_read("the store has been read")

    def _watch(self, store: Store, wait_s: float = WATCH_TIMEOUT_S) -> None:
        batch = store.watch(self.revision, wait_s)
        self._record_answer(batch)
        self._apply(batch)
        self._drop_removed()
        self._apply_settled()

    def _begin_era(self, era: int) -> None:
        """Hold the beliefs that restrict sending, since the store was restored from a copy."""
        self._counters["store.era_changed"] += 1
        fields = {"new_era": era, **self._state()}
        logger.warning("store restored from a copy", extra={"fields": fields})
        self._era_change.begin(self._catalog.excluded_domains, self._now())

    def _without_outdated(self, batch: UpdateBatch) -> UpdateBatch:
        """Return *batch* without what was known to be out of date before a change of era.

        Revisions of two eras have no order, so the servers' own counts decide until it settles.
        """
        if not self._era_change.is_settling(self._now()):
            return batch
        kept: list[StoreUpdate] = []
        for update in batch.updates:
            if isinstance(update, ServerUpdate) and self._catalog.is_from_before(
                update.registration
            ):
                self._hold(update.registration, self._era_change.settled_at)
            else:
                kept.append(update)
        return replace(batch, updates=tuple(kept))

    def _apply_settled(self) -> None:
        """Apply the registrations that were held for long enough, and end a change of era."""
        now = self._now()
        for registration in self._held.take_due(now):
            self._apply_registration(registration, now)
        self._era_change.end_if_settled(now)
        self._update_exclusions()

    def record_failure(self, exc: StoreError) -> None:
        """Record that the store did not answer."""
        self._count_earlier_era(exc)
        self._readers.record_store_failure(self._now())
        self._outages.record_failure(is_silent_reader=False)
        self._counters["store.failure"] += 1
        self._on_first_read(f"the store is not responding: {exc}")
        if not self._is_unavailable:
            self._is_unavailable = True
            fields = {"why": str(exc), **self._state()}
            logger.warning("store is not responding", extra={"fields": fields})

    def _count_earlier_era(self, exc: StoreError) -> None:
        if isinstance(exc, EarlierEraError):
            self._counters["store.earlier_era"] += 1

    def _run(self) -> None:
        while True:
            before = (self.era, self.revision)
            try:
                self.poll()
            except StoreError as exc:
                self.record_failure(exc)
                if self._readers.choose(self._now()) is None:
                    self._back_off()
            except Exception:
                # If this greenlet ended, the daemon would use an old configuration indefinitely.
                logger.exception(
                    "unexpected error while reading the store; reading a full snapshot"
                )
                self._counters["store.fault"] += 1
                self._on_first_read("the store cannot be read")
                self._has_snapshot = False
                self._back_off()
            else:
                if (self.era, self.revision) != before:
                    gevent.sleep(self._pause_after_change())

    def _pause_after_change(self) -> float:
        """Return the pause after a change.

        It grows while changes arrive in a burst, unless a reader's mirror is watched: the pauses of
        the reader and of its follower add up.
        """
        now = self._now()
        is_billed = self._source is None
        if is_billed and now - self._changed_at < BURST_GAP_S:
            self._coalesce_s = min(self._coalesce_s * COALESCE_GROWTH, MAX_COALESCE_S)
        else:
            self._coalesce_s = COALESCE_S
        self._changed_at = now
        if now - self._started_at < STARTUP_S:
            return STARTUP_COALESCE_S
        return self._coalesce_s

    def _back_off(self) -> None:
        gevent.sleep(self._backoff_s * random.uniform(0.7, 1.0))
        self._backoff_s = min(self._backoff_s * 1.6, MAX_BACKOFF_S)

    def _record_answer(self, batch: UpdateBatch) -> None:
        now = self._now()
        self._readers.record_answer(now)
        self._outages.record_answer(now)
        self._silent_s = now - self._catalog.heard_at
        self._catalog.heard_at = now
        self._backoff_s = MIN_BACKOFF_S
        self.era = batch.era
        self.revision = batch.revision

    def _apply(self, batch: UpdateBatch) -> None:
        for update in batch.updates:
            self._apply_update(update)
        self._update_exclusions()

    def _update_exclusions(self) -> None:
        self._catalog.exclude(self._excluded | self._era_change.held_domains)

    def _apply_update(self, update: StoreUpdate) -> None:
        now = self._now()
        if isinstance(update, ConfigUpdate):
            if self._catalog.apply_config(update.config):
                fields = {"version": update.config.version, "routes": len(update.config.routes)}
                logger.info("configuration applied", extra={"fields": fields})
        elif isinstance(update, ServerUpdate):
            self._held.forget(update.registration.server_id)
            if self._catalog.may_be_outdated(update.registration):
                self._hold(update.registration, now + SETTLE_S)
            else:
                self._apply_registration(update.registration, now)
        elif isinstance(update, ServerRemoved):
            self._held.forget(update.server_id)
            self._apply_removal(update, now)
        elif isinstance(update, DomainUpdate):
            self._apply_domain(update)

    def _apply_registration(self, new: Registration, now: float) -> None:
        row = self._catalog.rows.get(new.server_id)
        was_draining = row is not None and row.registration.draining
        if self._catalog.apply_registration(new, now) and new.draining and not was_draining:
            fields = {"server": new.server_id, **self._source_state()}
            logger.info("server registered as draining", extra={"fields": fields})

    def _hold(self, new: Registration, until: float) -> None:
        """Apply a registration later, unless the store replaces it until then."""
        self._held.hold(new, until)
        self._counters["registration.held"] += 1
        fields = {
            "server": new.server_id,
            "counts": [new.started_at_ms, new.sequence],
            "held_s": round(until - self._now(), 3),
            **self._source_state(),
        }
        logger.info("server registration held", extra={"fields": fields})

    def _apply_removal(self, update: ServerRemoved, now: float) -> None:
        fields = {"server": update.server_id, **self._source_state()}
        if update.is_unreadable:
            self._counters["registration.unreadable"] += 1
            logger.warning("invalid server registration", extra={"fields": fields})
        if update.server_id not in self._catalog.rows:
            return
        recovering_until = self._outages.recovering_until
        if now < recovering_until:
            self._counters["registration.removal_deferred"] += 1
            self._catalog.mark_removed(update.server_id, recovering_until)
            fields["deferred_s"] = round(recovering_until - now, 3)
            logger.info("server removal deferred", extra={"fields": fields})
        else:
            self._catalog.remove(update.server_id)
            logger.info("server removed", extra={"fields": fields})

    def _apply_domain(self, update: DomainUpdate) -> None:
        if update.is_excluded:
            self._excluded.add(update.domain)
        else:
            self._excluded.discard(update.domain)
            self._era_change.release_domain(update.domain)
        fields = {"domain": update.domain, "excluded": update.is_excluded}
        logger.info("failure domain exclusion changed", extra={"fields": fields})

    def _remove_absent(self, updates: tuple[StoreUpdate, ...]) -> None:
        """Remove servers and exclusions that a full snapshot no longer contains."""
        named = {u.registration.server_id for u in updates if isinstance(u, ServerUpdate)}
        for row in list(self._catalog):
            if row.server_id in named:
                continue
            if self._era_change.is_settling(self._now()):
                self._catalog.mark_removed(row.server_id, self._era_change.settled_at)
            else:
                self._apply_removal(ServerRemoved(row.server_id), self._now())
        self._excluded = {
            u.domain for u in updates if isinstance(u, DomainUpdate) and u.is_excluded
        }

    def _drop_removed(self) -> None:
        for server_id in self._catalog.drop_removed(self._now()):
            logger.info("server removed", extra={"fields": {"server": server_id}})

    def _record_response(self) -> None:
        self.confirmed_at = self._now()
        self._record_confirmed(self.confirmed_at)
        self._readers.record_store_answer()
        if self._is_unavailable:
            self._is_unavailable = False
            logger.info("store is responding again", extra={"fields": self._state()})

    def _record_confirmed(self, confirmed_at: float) -> None:
        self._catalog.confirmed_at = max(self._catalog.confirmed_at, confirmed_at)

    def _source_state(self) -> dict[str, object]:
        """Return log fields that tell how a change became known, and how old it may be."""
        return {
            "revision": self.revision,
            "source": str(self._source) if self._source is not None else "store",
            "silent_s": round(self._silent_s, 3) if isfinite(self._silent_s) else None,
        }

    def _news_age_s(self) -> float | None:
        """Return the time since any source answered, or ``None`` before the first answer."""
        age_s = self._now() - self._catalog.heard_at
        return round(age_s, 3) if isfinite(age_s) else None

    def _state(self) -> dict[str, object]:
        config = self._catalog.config
        return {
            "era": self.era,
            "revision": self.revision,
            "version": config.version if config else None,
            "servers": len(self._catalog.rows),
            "news_age_s": self._news_age_s(),
        }
