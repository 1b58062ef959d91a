"""A mirror of the platform's store, served to other daemons through the store's own API."""

from __future__ import annotations

import json
from collections import deque
from typing import TYPE_CHECKING, Any

import bottle
import gevent

from ..gateway.store_interface import UNKNOWN_ERA

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_EVENTS = 4000
"""Maximum number of events kept; a daemon that is further behind reads a full snapshot."""
POLL_S = 0.05
"""Interval at which a waiting watch checks for changes and for a stale mirror."""
PAGE_ITEMS = 500
"""Items per page; the maximum page size of the store itself."""
ERA_HEADER = "Store-Era"
"""Header of all responses of the store; the era rises each time a copy of the store is restored."""
_GONE = 410
_UNAVAILABLE = 503


class Mirror:
    """Items and recent events, with the store's own era and revisions.

    :attr:`app` refuses all calls while *is_fresh* returns false, since the mirror may then be
    behind the store.
    """

    def __init__(self, is_fresh: Callable[[], bool]) -> None:
        self.app = bottle.Bottle()
        self.app.route("/-/kv-range", "GET", self._range)
        self.app.route("/-/kv-watch", "GET", self._watch)
        self.era = UNKNOWN_ERA
        self.revision = 0
        self._is_fresh = is_fresh
        self._items: dict[str, dict[str, Any]] = {}
        self._events: deque[dict[str, Any]] = deque()
        self._compacted_revision = 0
        """Events up to this revision have been discarded."""

    def replace(self, items: Iterable[dict[str, Any]], revision: int, era: int) -> None:
        """Replace the content with a full snapshot."""
        self.era = era
        self._items = {item["key"]: item for item in items}
        self._events.clear()
        self._compacted_revision = self.revision = revision

    def apply_events(self, events: Iterable[dict[str, Any]], revision: int) -> None:
        """Apply the events up to *revision*."""
        for event in events:
            if event.get("tombstone"):
                self._items.pop(event["key"], None)
            else:
                self._items[event["key"]] = event
            self._events.append(event)
        while len(self._events) > MAX_EVENTS:
            self._compacted_revision = self._events.popleft()["revision"]
        self.revision = max(self.revision, revision)

    def _range(self) -> bottle.HTTPResponse:
        if not self._is_fresh():
            return self._response("", _UNAVAILABLE)
        query = bottle.request.query
        keys = sorted(k for k in self._items if k.startswith(query.prefix) and k > query.after)
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return self._json_response(
            {
                "items": page,
                "has-more": len(keys) > len(page),
                "current-rev": self.revision,
            }
        )

    def _watch(self) -> bottle.HTTPResponse:
        query = bottle.request.query
        after = int(query.after)
        era = self.era
        with gevent.Timeout(int(query["wait-ms"]) / 1000, False):
            while self._is_fresh() and self.revision <= after and self.era == era:
                gevent.sleep(POLL_S)
        if not self._is_fresh():
            return self._response("", _UNAVAILABLE)
        if after < self._compacted_revision or self.era != era:
            return self._response("", _GONE)
        events = [event for event in self._events if event["revision"] > after]
        return self._json_response({"events": events, "current-rev": max(self.revision, after)})

    def _json_response(self, value: dict[str, Any]) -> bottle.HTTPResponse:
        body = json.dumps(value, separators=(",", ":"))
        return self._response(body, 200, {"Content-Type": "application/json"})

    def _response(
        self, body: str, status: int, headers: dict[str, str] | None = None
    ) -> bottle.HTTPResponse:
        era_header = {ERA_HEADER: str(self.era)} if self.era != UNKNOWN_ERA else {}
        return bottle.HTTPResponse(body, status, (headers or {}) | era_header)
