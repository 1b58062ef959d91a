"""Stand-ins for the platform's store and for the backend servers behind the HTTP gateway."""

from __future__ import annotations

import json
from base64 import b64encode
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import bottle
import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from marigoldwalk.config.view import Address

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from marigoldwalk.daemon.http_server import WsgiApplication

MALFORMED_REPLIES = {
    "cut": "{",
    "list": "[]",
    "no revision": '{"items": [], "events": []}',
    "text revision": '{"items": [], "events": [], "current-rev": "9"}',
    "no key": '{"items": [{"value": ""}], "current-rev": 9}',
    "null items": '{"items": null, "current-rev": 9}',
    "nested": "[" * 2000,
    "same page": '{"items": [{"key": "a", "revision": 9}], "has-more": true, "current-rev": 9}',
    "key": '{"items": [{"key": "\\ud800", "revision": 9}], "has-more": true, "current-rev": 9}',
    "no item revision": '{"items": [{"key": "op/config", "value": ""}], "current-rev": 9}',
}
"""Malformed replies of the store, by the name of the failure."""


class StandinStore:
    """A key-value store with revisions, paged reads and watches."""

    def __init__(self, page_size: int = 2) -> None:
        self.items = {}
        self.history = []
        self.era = 1
        """Sent in the ``Store-Era`` header; 0 for a store that sends none."""
        self.revision = 10
        self.first_kept_revision = 0
        self.calls = []
        self.lag = 0
        """Number of changes by which serializable reads are behind."""
        self.failure = None
        """``busy``, ``silent`` or a key of ``MALFORMED_REPLIES``; ``None`` for normal operation."""
        self._page_size = page_size
        self._changed = Event()
        app = bottle.Bottle()
        app.route("/-/kv-range", "GET", self._range)
        app.route("/-/kv-watch", "GET", self._watch)
        self._server = WSGIServer(("127.0.0.1", 0), app, log=None, error_log=None)
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop(timeout=0)

    def put(self, key: str, value: Any) -> None:
        """Store *value* under *key*: bytes unchanged, anything else as JSON."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply({"key": key, "value": b64encode(body).decode()})

    def delete(self, key: str) -> None:
        """Delete *key*."""
        self._apply({"key": key, "tombstone": True})

    def compact(self) -> None:
        """Make all changes so far unavailable to watches."""
        self.first_kept_revision = self.revision + 1

    def restore(self, change_count: int) -> None:
        """Restore a copy from before the last *change_count* changes, which begins a new era."""
        revision = max(self.revision - change_count, self.revision - len(self.history))
        self.items = dict(self._items_at(revision))
        self.history = [event for event in self.history if event["revision"] <= revision]
        self.revision = revision
        self.era += 1
        self._changed.set()
        self._changed.clear()

    def _apply(self, event: dict[str, Any]) -> None:
        self.revision += 1
        event["revision"] = self.revision
        self.history.append(event)
        if event.get("tombstone"):
            self.items.pop(event["key"], None)
        else:
            self.items[event["key"]] = event
        self._changed.set()
        self._changed.clear()

    def _failure_response(self) -> bottle.HTTPResponse | None:
        if self.failure == "busy":
            return self._response("", 503)
        if self.failure in MALFORMED_REPLIES:
            return self._response(MALFORMED_REPLIES[self.failure])
        if self.failure == "silent":
            gevent.sleep(3600)
        return None

    def _response(self, body: str | dict[str, Any], status: int = 200) -> bottle.HTTPResponse:
        headers = {"Store-Era": str(self.era)} if self.era else {}
        text = body if isinstance(body, str) else json.dumps(body)
        return bottle.HTTPResponse(text, status, headers)

    def _range(self) -> bottle.HTTPResponse:
        query = bottle.request.query
        self.calls.append(("range", query.prefix))
        if (response := self._failure_response()) is not None:
            return response
        revision = self.revision - (self.lag if query.serializable else 0)
        items = self._items_at(revision)
        keys = sorted(k for k in items if k.startswith(query.prefix) and k > query.after)
        page = keys[: self._page_size]
        return self._response(
            {
                "items": [items[key] for key in page],
                "has-more": len(keys) > len(page),
                "current-rev": revision,
            }
        )

    def _items_at(self, revision: int) -> dict[str, dict[str, Any]]:
        """Return the items of the store as of *revision*."""
        if revision >= self.revision:
            return self.items
        items: dict[str, dict[str, Any]] = {}
        for event in self.history:
            if event["revision"] > revision:
                break
            if event.get("tombstone"):
                items.pop(event["key"], None)
            else:
                items[event["key"]] = event
        return items

    def _watch(self) -> bottle.HTTPResponse:
        query = bottle.request.query
        self.calls.append(("watch", int(query.after)))
        if (response := self._failure_response()) is not None:
            return response
        after = int(query.after)
        if after < self.first_kept_revision or after > self.revision:
            return self._response("", 410)
        if self.revision <= after:
            self._changed.wait(int(query["wait-ms"]) / 1000)
            if after > self.revision:
                return self._response("", 410)
        events = [event for event in self.history if event["revision"] > after]
        return self._response({"events": events, "current-rev": self.revision})


class StandinServer:
    """A backend server that answers every request with *body*, or by the WSGI app *answer*."""

    def __init__(
        self, server_id: str, body: bytes = b"", answer: WsgiApplication | None = None
    ) -> None:
        self.server_id = server_id
        self.requests = []
        self.headers = []
        self._body = body
        self._answer = answer
        self._server = WSGIServer(("127.0.0.1", 0), self._serve, log=None, error_log=None)
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop(timeout=0)

    def registration(self, service: str, **changes: Any) -> dict[str, Any]:
        """Return the server's registration record."""
        fields = {
            "service": service,
            "address": str(self.address),
            "zone": "north",
            "slots": 2,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 1,
            "born": 1000,
        }
        return fields | changes

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        self.requests.append((environ["REQUEST_METHOD"], environ["PATH_INFO"], body))
        self.headers.append({k: v for k, v in environ.items() if k.startswith("HTTP_")})
        if self._answer is not None:
            return self._answer(environ, start_response)
        headers = [
            ("X-Marigoldwalk-Response-Stamp", f"stamp-{self.server_id}"),
            ("X-Marigoldwalk-Request-Id", environ.get("HTTP_X_MARIGOLDWALK_REQUEST_ID", "")),
            ("Content-Length", str(len(self._body))),
        ]
        start_response("200 OK", headers)
        return [self._body]


@contextmanager
def stopping(*standins: StandinStore | StandinServer) -> Iterator[tuple[Any, ...]]:
    """Stop *standins* at the end of a ``with`` block."""
    try:
        yield standins
    finally:
        for standin in standins:
            standin.stop()


def config_record(
    version: int = 1, routes: Iterable[dict[str, Any]] = (), services: Iterable[str] = ()
) -> dict[str, Any]:
    """Return a configuration record."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [{"name": name, "max-connections": 25} for name in services],
        "limits": {"max-header-bytes": 4096, "max-body-bytes": 1000},
    }


def route_record(prefix: str = "/one/", **changes: Any) -> dict[str, Any]:
    """Return a route record; a change to ``None`` omits the field."""
    fields = {
        "name": f"r{prefix}",
        "host": "desk.example",
        "prefix": prefix,
        "route-kind": "safe",
        "timeout-ms": 5000,
        "target-latency-ms": 1000,
        "priority": 1,
        "max-attempts": 2,
        "service": "s-1",
    }
    return {key: value for key, value in (fields | changes).items() if value is not None}
