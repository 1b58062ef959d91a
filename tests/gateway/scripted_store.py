"""A store that answers by a script, and readers of a fleet, for tests of the store watcher."""

from __future__ import annotations

from collections import Counter

from marigoldwalk.config.view import Address
from marigoldwalk.gateway.store_interface import HistoryLostError, ServerUpdate
from marigoldwalk.gateway.store_watcher import StoreWatcher
from marigoldwalk.routing.catalog import Catalog

from ..routing.simulation import registration

APPLY_S = 3.0
"""Time within which a configuration must be in force."""

HISTORY_LOST = HistoryLostError("the history is gone")


class ScriptedStore:
    def __init__(self, *script):
        self.script = list(script)
        self.watched = []

    def _next(self):
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    def read(self):
        return self._next()

    def watch(self, after, wait_s):
        self.watched.append(after)
        return self._next()

    def mirror_at(self, address):
        return self.mirrors[address]

    def close(self):
        pass


class NoReaders:
    """``Readers`` of a daemon that knows no other daemon."""

    def choose(self, now):
        return None

    def record_answer(self, now):
        pass

    def record_store_failure(self, now):
        pass

    def record_store_answer(self):
        pass


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def make_watcher(clock, *script, readers=None):
    watcher = StoreWatcher(
        ScriptedStore(*script), readers or NoReaders(), Catalog(), clock, Counter()
    )
    return watcher, watcher._catalog


def servers(*server_ids):
    return tuple(ServerUpdate(registration(server_id)) for server_id in server_ids)


def server_ids(catalog):
    return sorted(catalog.rows)


class OneReader:
    """``Readers`` of a daemon that reads from another one until that one fails."""

    def __init__(self):
        self.address = Address("10.0.0.1", 7000)
        self.failures = []

    def choose(self, now):
        return None if self.failures else self.address

    def record_failure(self, reader, now, is_silent=False):
        self.failures.append(reader)

    def is_avoided(self, reader, now):
        return reader in self.failures

    def record_answer(self, now):
        pass

    def record_store_failure(self, now):
        pass

    def record_store_answer(self):
        pass
