"""Client of the platform's store."""

from __future__ import annotations

import http.client
import logging
from base64 import b64decode
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import gevent

from ..gateway.store_interface import (
    UNKNOWN_ERA,
    EarlierEraError,
    EraChangedError,
    HistoryLostError,
    StoreError,
    StoreRefusedError,
    StoreUpdate,
    UpdateBatch,
)
from ..util.gevent_http import GeventConnection
from ..util.json_text import decode_json
from .mirror import ERA_HEADER
from .records import KEY_PREFIXES, decode_item

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..config.view import Address
    from ..util.gevent_http import Reply
    from .mirror import Mirror

logger = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.8
"""Response timeout; the store normally takes 4 ms, and a slow store a hundred times that."""
MIRROR_TIMEOUT_S = 0.5
"""Response timeout of a mirror, which answers from memory. It adds to the time in which a follower
notices that its reader is lost."""
PAGE_TIMEOUT_S = 2.0
"""Time limit of a whole page, which may be large. Others must be complete within their response
timeout: a source that sends a little now and then would otherwise never count as lost."""
MAX_ERA_DIGITS = 15
_GONE = 410


class StoreClient:
    """Reads and watches the store, or another daemon's mirror of it, over one connection.

    All data read is also stored in *mirror*, which several clients may share.
    """

    def __init__(self, address: Address, mirror: Mirror, timeout_s: float | None = None) -> None:
        self.mirror = mirror
        self._timeout_s = CALL_TIMEOUT_S if timeout_s is None else timeout_s
        self._address = address
        self._connection: GeventConnection | None = None

    def mirror_at(self, address: Address) -> StoreClient:
        """Return a client of the mirror that the daemon at *address* serves."""
        return StoreClient(address, self.mirror, MIRROR_TIMEOUT_S)

    def read(self) -> UpdateBatch:
        """Return a full snapshot of the store; raises ``StoreError``.

        Stale reads cost a tenth of a call, and one watch brings them up to date. If the store no
        longer has the changes since then, or the stale reads are of an earlier era, the pages are
        read again without stale reads.
        """
        try:
            snapshot = self._fetch_pages(allow_stale=True)
            events, last_revision = self._fetch_events(snapshot.era, snapshot.revision, 0.0)
        except (HistoryLostError, EarlierEraError):
            snapshot = self._fetch_pages(allow_stale=False)
            events, last_revision = [], snapshot.revision
        if (snapshot.era, last_revision) < (self.mirror.era, self.mirror.revision):
            raise StoreError(f"{self._address} is at an older revision than was read before")
        self.mirror.replace(snapshot.items, snapshot.revision, snapshot.era)
        self.mirror.apply_events(events, last_revision)
        return UpdateBatch(_decode_all(self.mirror.items), last_revision, snapshot.era)

    def watch(self, after: int, wait_s: float) -> UpdateBatch:
        """Return the changes after revision *after*; raises ``StoreError``.

        The revision belongs to the era of the last snapshot.
        """
        era = self.mirror.era
        events, revision = self._fetch_events(era, after, wait_s)
        self.mirror.apply_events(events, revision)
        return UpdateBatch(_decode_all(events), revision, era)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _fetch_events(
        self, era: int, after: int, wait_s: float
    ) -> tuple[list[dict[str, Any]], int]:
        """Return the changes after a revision, and the revision up to which they are complete."""
        query = {"prefix": "", "after": after, "wait-ms": int(wait_s * 1000)}
        answer, answer_era = self._get("/-/kv-watch", query, wait_s + self._timeout_s)
        self._check_era(answer_era, era)
        return answer.get("events", []), max(int(answer["current-rev"]), after)

    def _fetch_pages(self, allow_stale: bool) -> _Snapshot:
        """Return all items, and a revision that none of their pages is older than."""
        era = self.mirror.era
        items: list[dict[str, Any]] = []
        revisions: list[int] = []
        for prefix in KEY_PREFIXES:
            query: dict[str, Any] = {"prefix": prefix}
            if allow_stale:
                query["serializable"] = 1
            is_last = False
            while not is_last:
                page, page_era = self._get("/-/kv-range", query, CALL_TIMEOUT_S, PAGE_TIMEOUT_S)
                if not revisions:
                    era = max(era, page_era)
                self._check_era(page_era, era)
                # Pages may differ in revision; a watch from the oldest one closes the gap.
                revisions.append(int(page["current-rev"]))
                found = page.get("items", [])
                items += found
                is_last = not page.get("has-more") or not found
                if found:
                    if found[-1]["key"] <= query.get("after", ""):
                        raise StoreError(f"{self._address} returns the same page again")
                    query["after"] = found[-1]["key"]
        return _Snapshot(items, min(revisions), era)

    def _check_era(self, era: int, expected: int) -> None:
        """Raise if a response is of another era than *expected*, since revisions then differ."""
        if era > expected:
            raise EraChangedError(f"{self._address} is in era {era}, after era {expected}")
        if era < expected:
            raise EarlierEraError(f"{self._address} is in era {era}, before era {expected}")

    def _get(
        self, path: str, query: dict[str, Any], timeout_s: float, limit_s: float | None = None
    ) -> tuple[dict[str, Any], int]:
        """Return the decoded response and its era.

        Each wait for data ends after *timeout_s*, the whole call after *limit_s*, which is the same
        by default.
        """
        limit_s = timeout_s if limit_s is None else limit_s
        try:
            with gevent.Timeout(limit_s, TimeoutError("no complete answer in time")):
                connection = self._connect(timeout_s)
                reply = connection.exchange("GET", f"{path}?{urlencode(query)}", None, {})
        except (OSError, UnicodeError, http.client.HTTPException) as exc:
            self.close()
            raise StoreError(f"{path}: {exc!r}") from exc
        if reply.status == _GONE:
            if (era := _era_of(reply)) > self.mirror.era:
                raise EraChangedError(f"{path}: {self._address} is in era {era}")
            raise HistoryLostError(path)
        if reply.status != http.client.OK:
            raise StoreRefusedError(f"{path}: status {reply.status}")
        return _validated(path, reply.body), _era_of(reply)

    def _connect(self, timeout_s: float) -> GeventConnection:
        if self._connection is None:
            host, port = self._address.host, self._address.port
            self._connection = GeventConnection(host, port, timeout=self._timeout_s)
        if self._connection.sock is None:
            self._connection.connect()
        self._connection.sock.settimeout(timeout_s)
        return self._connection


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """All items of the store, and the position that none of their pages is older than."""

    items: list[dict[str, Any]]
    revision: int
    era: int


def _era_of(reply: Reply) -> int:
    """Return the era in which the response was given; unknown if it states none."""
    text = reply.headers.get(ERA_HEADER, "")
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_number else UNKNOWN_ERA


def _validated(path: str, body: bytes) -> dict[str, Any]:
    """Return the decoded response in *body*; raises ``StoreError`` if it is malformed."""
    try:
        answer = decode_json(body)
        entries = answer.get("items", answer.get("events", []))
        is_valid = isinstance(answer["current-rev"], int) and all(
            isinstance(entry["key"], str) and isinstance(entry["revision"], int)
            for entry in entries
        )
    except (ValueError, TypeError, KeyError, AttributeError) as exc:
        raise StoreError(f"{path}: the answer cannot be read ({exc!r})") from exc
    if not is_valid:
        raise StoreError(f"{path}: the answer does not have the right form")
    return answer


def _decode_all(items: Iterable[dict[str, Any]]) -> tuple[StoreUpdate, ...]:
    """Return the updates in items or events, skipping keys that the gateway does not read."""
    return tuple(update for item in items if (update := _decode(item)))


def _decode(item: dict[str, Any]) -> StoreUpdate | None:
    """Return the update in an item or event, or ``None`` if there is none."""
    key = item["key"]
    if item.get("tombstone"):
        return decode_item(key, None)
    try:
        return decode_item(key, b64decode(item.get("value", "")))
    except Exception as exc:  # noqa: BLE001 (one entry must not stop the reading of the others)
        fields = {"key": key, "why": repr(exc)}
        logger.warning("cannot decode value from the store", extra={"fields": fields})
        return decode_item(key, b"")
