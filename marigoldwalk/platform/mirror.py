"""A copy of what was read from the platform's store, served to other daemons by the same calls."""

from __future__ import annotations

import json
from collections import deque
from typing import TYPE_CHECKING, Any

import bottle
import gevent

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_EVENTS = 4000
"""Changes that are kept; a daemon that is further behind reads everything again."""
POLL_S = 0.05
"""Pause between two looks of a waiting watch for changes, and for a copy that has become old."""
PAGE_ITEMS = 500
"""Items in one page, as many as the store's own pages hold at most."""
_GONE = 410
_UNAVAILABLE = 503


class Mirror:
    """Items and recent changes with the store's own revisions.

    :attr:`app` refuses all calls while *is_fresh* says that the copy may be behind the store.
    """

    def __init__(self, is_fresh: Callable[[], bool]) -> None:
        self.app = bottle.Bottle()
        self.app.route("/-/kv-range", "GET", self._range)
        self.app.route("/-/kv-watch", "GET", self._watch)
        self.revision = 0
        self._is_fresh = is_fresh
        self._items: dict[str, dict[str, Any]] = {}
        self._events: deque[dict[str, Any]] = deque()
        self._kept_from = 0
        """Changes after this revision are kept."""

    def replace(self, items: Iterable[dict[str, Any]], revision: int) -> None:
        """Take over a whole read."""
        self._items = {item["key"]: item for item in items}
        self._events.clear()
        self._kept_from = self.revision = revision

    def change(self, events: Iterable[dict[str, Any]], revision: int) -> None:
        """Take over the changes up to *revision*."""
        for event in events:
            if event.get("tombstone"):
                self._items.pop(event["key"], None)
            else:
                self._items[event["key"]] = event
            self._events.append(event)
        while len(self._events) > MAX_EVENTS:
            self._kept_from = self._events.popleft()["revision"]
        self.revision = max(self.revision, revision)

    def _range(self) -> bottle.HTTPResponse:
        if not self._is_fresh():
            return bottle.HTTPResponse("", _UNAVAILABLE)
        query = bottle.request.query
        keys = sorted(k for k in self._items if k.startswith(query.prefix) and k > query.after)
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return _answer(
            {
                "items": page,
                "has-more": len(keys) > len(page),
                "current-rev": self.revision,
            }
        )

    def _watch(self) -> bottle.HTTPResponse:
        query = bottle.request.query
        after = int(query.after)
        with gevent.Timeout(int(query["wait-ms"]) / 1000, False):
            while self._is_fresh() and self.revision <= after:
                gevent.sleep(POLL_S)
        if not self._is_fresh():
            return bottle.HTTPResponse("", _UNAVAILABLE)
        if after < self._kept_from:
            return bottle.HTTPResponse("", _GONE)
        events = [event for event in self._events if event["revision"] > after]
        return _answer({"events": events, "current-rev": max(self.revision, after)})


def _answer(value: dict[str, Any]) -> bottle.HTTPResponse:
    headers = {"Content-Type": "application/json"}
    return bottle.HTTPResponse(json.dumps(value, separators=(",", ":")), 200, headers)
