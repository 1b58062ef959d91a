"""Calls to the platform's store."""

from __future__ import annotations

import http.client
import json
import logging
from base64 import b64decode
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from ..gateway.store_interface import HistoryLostError, StoreError, StoreUpdate, UpdateBatch
from ..util.gevent_http import GeventConnection
from .records import KEYS, decode_item

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..config.view import Address
    from .mirror import Mirror

logger = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.8
"""Time for an answer; the store's own time is 4 ms, and a slow one's a hundred times that."""
_GONE = 410


class StoreClient:
    """Read and watch the store, or another daemon's copy of it, over one connection.

    What is read goes into *mirror*, which several clients may share.
    """

    def __init__(self, address: Address, mirror: Mirror) -> None:
        self.mirror = mirror
        self._address = address
        self._connection: GeventConnection | None = None

    def at(self, address: Address) -> StoreClient:
        """Return a client of the copy that the daemon at *address* serves."""
        return StoreClient(address, self.mirror)

    def read(self) -> UpdateBatch:
        """Return all that the store holds; raises ``StoreError``.

        Pages that may lag cost a tenth of a call, and one watch closes the gap. If the changes
        since then are gone, pages that do not lag are read.
        """
        try:
            items, revision = self._pages(may_lag=True)
            events, last_revision = self._events(revision, 0.0)
        except HistoryLostError:
            items, revision = self._pages(may_lag=False)
            events, last_revision = [], revision
        if last_revision < self.mirror.revision:
            raise StoreError(f"{self._address} is at an older revision than was read before")
        self.mirror.replace(items, revision)
        self.mirror.change(events, last_revision)
        return UpdateBatch(_decode_all([*items, *events]), last_revision)

    def watch(self, after: int, wait_s: float) -> UpdateBatch:
        """Return what changed after the revision *after*; raises ``StoreError``."""
        events, revision = self._events(after, wait_s)
        self.mirror.change(events, revision)
        return UpdateBatch(_decode_all(events), revision)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _events(self, after: int, wait_s: float) -> tuple[list[dict[str, Any]], int]:
        """Return the changes after a revision, and the revision up to which these are all."""
        query = {"prefix": "", "after": after, "wait-ms": int(wait_s * 1000)}
        told = self._get("/-/kv-watch", query, wait_s + CALL_TIMEOUT_S)
        return told.get("events", []), max(int(told["current-rev"]), after)

    def _pages(self, may_lag: bool) -> tuple[list[dict[str, Any]], int]:
        """Return all items, and the revision that each of them is as new as."""
        items: list[dict[str, Any]] = []
        revisions: list[int] = []
        for prefix in KEYS:
            query: dict[str, Any] = {"prefix": prefix}
            if may_lag:
                query["serializable"] = 1
            is_last = False
            while not is_last:
                page = self._get("/-/kv-range", query, CALL_TIMEOUT_S)
                # Pages are no snapshot: what changed since the oldest one is told by the watch.
                revisions.append(int(page["current-rev"]))
                found = page.get("items", [])
                items += found
                is_last = not page.get("has-more") or not found
                if found:
                    query["after"] = found[-1]["key"]
        return items, min(revisions)

    def _get(self, path: str, query: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        try:
            connection = self._connect(timeout_s)
            reply = connection.exchange("GET", f"{path}?{urlencode(query)}", None, {})
        except (OSError, http.client.HTTPException) as exc:
            self.close()
            raise StoreError(f"{path}: {exc!r}") from exc
        if reply.status == _GONE:
            raise HistoryLostError(path)
        if reply.status != http.client.OK:
            raise StoreError(f"{path}: status {reply.status}")
        return _checked(path, reply.body)

    def _connect(self, timeout_s: float) -> GeventConnection:
        if self._connection is None:
            host, port = self._address.host, self._address.port
            self._connection = GeventConnection(host, port, timeout=CALL_TIMEOUT_S)
        if self._connection.sock is None:
            self._connection.connect()
        self._connection.sock.settimeout(timeout_s)
        return self._connection


def _checked(path: str, body: bytes) -> dict[str, Any]:
    """Return the answer in *body*; raises ``StoreError`` if it does not have the right form."""
    try:
        answer = json.loads(body)
        entries = answer.get("items", answer.get("events", []))
        is_sound = isinstance(answer["current-rev"], int) and all(
            isinstance(entry["key"], str) for entry in entries
        )
    except (ValueError, TypeError, KeyError, AttributeError) as exc:
        raise StoreError(f"{path}: the answer cannot be read ({exc!r})") from exc
    if not is_sound:
        raise StoreError(f"{path}: the answer does not have the right form")
    return answer


def _decode_all(items: Iterable[dict[str, Any]]) -> tuple[StoreUpdate, ...]:
    """Return what items or events say; keys that are none of ours say nothing."""
    return tuple(fact for item in items if (fact := _decode(item)))


def _decode(item: dict[str, Any]) -> StoreUpdate | None:
    """Return what an item or event says, or ``None`` if its key is none of ours."""
    if item.get("tombstone"):
        return decode_item(item["key"], None)
    try:
        value = b64decode(item.get("value", ""))
    except (ValueError, TypeError) as exc:
        fields = {"key": item["key"], "why": repr(exc)}
        logger.warning("cannot decode value from the store", extra={"fields": fields})
        value = b""
    return decode_item(item["key"], value)
