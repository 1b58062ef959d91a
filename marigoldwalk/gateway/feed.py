"""The reader of the platform's store: a whole read, then one watch after the other."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

import gevent

from .facts import ConfigFact, DomainFact, HistoryLostError, ServerFact, ServerGone, StoreError

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from ..config.view import Address
    from ..routing.catalog import Catalog
    from ..routing.readers import Readers
    from .facts import Fact, Facts, Store

logger = logging.getLogger(__name__)

WATCH_S = 1.0
"""Longest wait of one watch. It bounds how long a lost answer or a silent connection goes
unnoticed, and with it the age of a copy."""
FRESH_S = 1.6
"""Age up to which this daemon's copy is served to others: a watch and its answer. Together with a
follower's own watch it stays below the 3 s in which a configuration is in force."""
COALESCE_S = 0.1
"""Pause after a change, so that changes in quick succession cost one call."""
LONGEST_COALESCE_S = 0.35
"""The same while changes go on, as when an index is cut anew; each call to the store is priced, and
this is a tenth of the time in which a change must be in force."""
COALESCE_GROWTH = 1.4
SUCCESSION_S = 1.0
"""Time after a change in which the next one counts as following it."""
FIRST_COALESCE_S = 0.5
SETTLING_S = 3.0
"""Time after its start in which a daemon lets changes gather for ``FIRST_COALESCE_S``: until gossip
has found the readers, every daemon watches the store itself."""
FIRST_BACKOFF_S = 0.3
LAST_BACKOFF_S = 1.5
"""Longest pause between tries; recovery must be noticed well within the stability time."""
STOP_S = 0.2
"""Time for the reading greenlet to end at a stop; it ends at its next switch."""
RETURN_S = 2.2
"""Time after the store's return in which live servers register again: two seconds, and a bit."""


class Feed:
    """Keep the catalog up to date; runs in a greenlet of its own."""

    def __init__(
        self,
        store: Store,
        readers: Readers,
        catalog: Catalog,
        now: Callable[[], float],
        counters: Counter[str],
    ) -> None:
        self.revision = 0
        self.confirmed_at = float("-inf")
        """When the store last answered."""
        self._store = store
        self._copies: dict[Address, Store] = {}
        self._readers = readers
        self._catalog = catalog
        self._now = now
        self._counters = counters
        self._excluded: set[str] = set()
        self._failed_at = float("-inf")
        self._is_lost = False
        self._is_read = False
        self._backoff_s = FIRST_BACKOFF_S
        self._coalesce_s = COALESCE_S
        self._born_at = now()
        self._changed_at = float("-inf")
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to read."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End reading."""
        if self._greenlet is not None:
            # A connection must not be closed while the greenlet is inside a read of it.
            self._greenlet.kill(timeout=STOP_S)
        self._store.close()
        for copy in self._copies.values():
            copy.close()

    def is_fresh(self) -> bool:
        """Return whether what this daemon knows was confirmed by the store itself just now."""
        return self._now() - self.confirmed_at < FRESH_S

    def step(self) -> None:
        """Read all, or watch once what is read already; raises ``StoreError``.

        The first read is from the store, since a daemon that starts knows no others yet.
        """
        address = self._readers.source(self._now()) if self._is_read else None
        if address is None:
            self._step_at(self._store)
            return
        copy = self._copies.get(address)
        if copy is None:
            copy = self._copies[address] = self._store.at(address)
        try:
            self._watch(copy)
        except HistoryLostError:
            self._close_gap(copy)
        except StoreError as exc:
            self._counters["store.reader_failed"] += 1
            self._readers.record_failure(address, self._now())
            fields = {"reader": str(address), "why": str(exc)}
            logger.info("a reader of the store does not answer", extra={"fields": fields})

    def _close_gap(self, copy: Store) -> None:
        """Catch up with a copy that was made later than what is known here.

        One call to the store does it, unless the store's own history is gone too; then the copy is
        read, since all followers come at this moment.
        """
        try:
            self._watch(self._store)
        except HistoryLostError:
            self._counters["store.history_lost"] += 1
            self._read(copy)
        else:
            self._note_answer()

    def _step_at(self, store: Store) -> None:
        try:
            if self._is_read:
                self._watch(store)
            else:
                self._read(store)
        except HistoryLostError:
            self._counters["store.history_lost"] += 1
            logger.info("the history is gone; reading everything again")
            self._read(store)
        self._note_answer()

    def _read(self, store: Store) -> None:
        told = store.read()
        self._forget_absent(told.facts)
        self._take(told)
        self._is_read = True
        logger.info("the store was read", extra={"fields": self._state()})

    def _watch(self, store: Store) -> None:
        self._take(store.watch(self.revision, WATCH_S))
        self._drop_removed()

    def record_failure(self, exc: StoreError) -> None:
        """Note that the store did not answer."""
        self._failed_at = self._now()
        self._readers.record_store_failure(self._failed_at)
        self._counters["store.failure"] += 1
        if not self._is_lost:
            self._is_lost = True
            fields = {"why": str(exc), **self._state()}
            logger.warning("the store does not answer", extra={"fields": fields})

    def _run(self) -> None:
        while True:
            before = self.revision
            try:
                self.step()
            except StoreError as exc:
                self.record_failure(exc)
                if self._readers.source(self._now()) is None:
                    self._back_off()
            except Exception:
                # A daemon that stopped reading would follow an old configuration for good.
                logger.exception("reading the store failed; everything is read again")
                self._counters["store.fault"] += 1
                self._is_read = False
                self._back_off()
            else:
                if self.revision != before:
                    gevent.sleep(self._pause_after_change())

    def _pause_after_change(self) -> float:
        """Return how long further changes may gather: longer while they follow one another."""
        now = self._now()
        if now - self._changed_at < SUCCESSION_S:
            self._coalesce_s = min(self._coalesce_s * COALESCE_GROWTH, LONGEST_COALESCE_S)
        else:
            self._coalesce_s = COALESCE_S
        self._changed_at = now
        if now - self._born_at < SETTLING_S:
            return FIRST_COALESCE_S
        return self._coalesce_s

    def _back_off(self) -> None:
        gevent.sleep(self._backoff_s * random.uniform(0.7, 1.0))
        self._backoff_s = min(self._backoff_s * 1.6, LAST_BACKOFF_S)

    def _take(self, told: Facts) -> None:
        for fact in told.facts:
            self._take_fact(fact)
        self._catalog.exclude(self._excluded)
        self.revision = told.revision

    def _take_fact(self, fact: Fact) -> None:
        now = self._now()
        if isinstance(fact, ConfigFact):
            if self._catalog.apply_config(fact.config):
                fields = {"version": fact.config.version, "routes": len(fact.config.routes)}
                logger.info("a configuration is in force", extra={"fields": fields})
        elif isinstance(fact, ServerFact):
            self._catalog.apply_registration(fact.registration, now)
        elif isinstance(fact, ServerGone):
            self._take_gone(fact, now)
        elif isinstance(fact, DomainFact):
            self._take_domain(fact)

    def _take_gone(self, fact: ServerGone, now: float) -> None:
        if fact.is_unreadable:
            self._counters["registration.unreadable"] += 1
            logger.warning(
                "a registration cannot be read", extra={"fields": {"server": fact.server_id}}
            )
        if self._is_returning():
            self._catalog.mark_removed(fact.server_id, now)
        elif self._catalog.remove(fact.server_id):
            logger.info("a server is gone", extra={"fields": {"server": fact.server_id}})

    def _take_domain(self, fact: DomainFact) -> None:
        change = self._excluded.add if fact.is_excluded else self._excluded.discard
        change(fact.domain)
        fields = {"domain": fact.domain, "excluded": fact.is_excluded}
        logger.info("a failure domain changes", extra={"fields": fields})

    def _forget_absent(self, facts: tuple[Fact, ...]) -> None:
        """Drop what a whole read does not name any more."""
        named = {f.registration.server_id for f in facts if isinstance(f, ServerFact)}
        for row in list(self._catalog):
            if row.server_id not in named:
                self._take_gone(ServerGone(row.server_id), self._now())
        self._excluded = {f.domain for f in facts if isinstance(f, DomainFact) and f.is_excluded}

    def _drop_removed(self) -> None:
        for server_id in self._catalog.drop_removed(self._now() - RETURN_S):
            logger.info("a server is gone", extra={"fields": {"server": server_id}})

    def _is_returning(self) -> bool:
        """Return whether the store was away a moment ago, so that absence proves little."""
        return self._now() - self._failed_at < RETURN_S

    def _note_answer(self) -> None:
        self.confirmed_at = self._now()
        self._backoff_s = FIRST_BACKOFF_S
        if self._is_lost:
            self._is_lost = False
            logger.info("the store answers again", extra={"fields": self._state()})

    def _state(self) -> dict[str, object]:
        config = self._catalog.config
        return {
            "revision": self.revision,
            "version": config.version if config else None,
            "servers": len(self._catalog.rows),
        }
