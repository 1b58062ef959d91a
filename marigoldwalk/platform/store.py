"""Calls to the platform's store."""

from __future__ import annotations

import http.client
import json
from base64 import b64decode
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from ..gateway.facts import Fact, Facts, HistoryLostError, StoreError
from ..util.gevent_http import GeventConnection
from .records import KEYS, decode_item

if TYPE_CHECKING:
    from ..config.view import Address

CALL_TIMEOUT_S = 1.0
"""Time for an answer; the store's own time is 4 ms, and a slow one's 50 times that."""
_GONE = 410


class StoreClient:
    """Read and watch the store over one connection."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._connection: GeventConnection | None = None

    def read(self) -> Facts:
        """Return all that the store holds; raises ``StoreError``."""
        facts: list[Fact] = []
        revision = 0
        for prefix in KEYS:
            read, first_revision = self._range(prefix)
            facts += read
            # Pages are no snapshot: what changed since the first one is told by the watch.
            revision = min(revision, first_revision) if revision else first_revision
        return Facts(tuple(facts), revision)

    def watch(self, after: int, wait_s: float) -> Facts:
        """Return what changed after the revision *after*; raises ``StoreError``."""
        query = {"prefix": "", "after": after, "wait-ms": int(wait_s * 1000)}
        told = self._get("/-/kv-watch", query, wait_s + CALL_TIMEOUT_S)
        facts = [fact for event in told.get("events", ()) if (fact := _decode(event))]
        return Facts(tuple(facts), int(told["current-rev"]))

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _range(self, prefix: str) -> tuple[list[Fact], int]:
        facts: list[Fact] = []
        first_revision = 0
        query: dict[str, Any] = {"prefix": prefix}
        while True:
            page = self._get("/-/kv-range", query, CALL_TIMEOUT_S)
            first_revision = first_revision or int(page["current-rev"])
            items = page["items"]
            facts += [fact for item in items if (fact := _decode(item))]
            if not page.get("has-more") or not items:
                return facts, first_revision
            query["after"] = items[-1]["key"]

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
        try:
            return json.loads(reply.body)
        except ValueError as exc:
            raise StoreError(f"{path}: the answer is not JSON") from exc

    def _connect(self, timeout_s: float) -> GeventConnection:
        if self._connection is None:
            host, port = self._address.host, self._address.port
            self._connection = GeventConnection(host, port, timeout=CALL_TIMEOUT_S)
        if self._connection.sock is None:
            self._connection.connect()
        self._connection.sock.settimeout(timeout_s)
        return self._connection


def _decode(item: dict[str, Any]) -> Fact | None:
    """Return what an item or event says, or ``None`` if its key is none of ours."""
    value = None if item.get("tombstone") else b64decode(item.get("value", ""))
    return decode_item(item["key"], value)
