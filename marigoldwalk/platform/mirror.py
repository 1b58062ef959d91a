"""A mirror of the platform's store, served to other daemons through the store's own API."""

from __future__ import annotations

import json
import logging
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import gevent

from ..gateway.store_interface import UNKNOWN_ERA

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

logger = logging.getLogger(__name__)

MAX_EVENTS = 4000
"""Maximum number of events kept; a daemon that is further behind reads a full snapshot."""
POLL_S = 0.05
"""Interval at which a waiting watch checks for changes and for a stale mirror."""
PAGE_ITEMS = 500
"""Items per page; the maximum page size of the store itself."""
ERA_HEADER = "Store-Era"
"""Header of all responses of the store; the era rises each time a copy of the store is restored."""


class Mirror:
    """Items and recent events, with the store's own era and revisions.

    :meth:`app`, a WSGI application, refuses all calls while *is_fresh* returns false, since the
    mirror may then be behind the store.
    """

    def __init__(self, is_fresh: Callable[[], bool]) -> None:
        self.era = UNKNOWN_ERA
        self.revision = 0
        self._is_fresh = is_fresh
        self._items: dict[str, dict[str, Any]] = {}
        self._events: deque[dict[str, Any]] = deque()
        self._compacted_revision = 0
        """Events up to this revision have been discarded."""

    @property
    def items(self) -> list[dict[str, Any]]:
        """All items, as of the mirror's revision."""
        return list(self._items.values())

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

    def app(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer a call of another daemon."""
        answer = self._answer(environ)
        is_status = isinstance(answer, HTTPStatus)
        status = answer if is_status else HTTPStatus.OK
        body = b"" if is_status else json.dumps(answer, separators=(",", ":")).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if self.era != UNKNOWN_ERA:
            headers.append((ERA_HEADER, str(self.era)))
        start_response(f"{status.value} {status.phrase}", headers)
        return [body]

    def _answer(self, environ: dict[str, Any]) -> dict[str, Any] | HTTPStatus:
        call = {"/-/kv-range": self._range, "/-/kv-watch": self._watch}.get(environ["PATH_INFO"])
        if call is None:
            return HTTPStatus.NOT_FOUND
        if environ["REQUEST_METHOD"] != "GET":
            return HTTPStatus.METHOD_NOT_ALLOWED
        query = parse_qs(environ["QUERY_STRING"], keep_blank_values=True)
        try:
            return call({name: values[-1] for name, values in query.items()})
        except (KeyError, ValueError) as exc:
            logger.info("invalid call of the mirror", extra={"fields": {"why": repr(exc)}})
            return HTTPStatus.BAD_REQUEST

    def _range(self, query: dict[str, str]) -> dict[str, Any] | HTTPStatus:
        if not self._is_fresh():
            return HTTPStatus.SERVICE_UNAVAILABLE
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return {
            "items": page,
            "has-more": len(keys) > len(page),
            "current-rev": self.revision,
        }

    def _watch(self, query: dict[str, str]) -> dict[str, Any] | HTTPStatus:
        after = int(query["after"])
        era = self.era
        with gevent.Timeout(int(query["wait-ms"]) / 1000, False):
            while self._is_fresh() and self.revision <= after and self.era == era:
                gevent.sleep(POLL_S)
        if not self._is_fresh():
            return HTTPStatus.SERVICE_UNAVAILABLE
        if after < self._compacted_revision or self.era != era:
            return HTTPStatus.GONE
        events = [event for event in self._events if event["revision"] > after]
        return {"events": events, "current-rev": max(self.revision, after)}
