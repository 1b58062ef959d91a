"""A stand-in for the platform: its configuration service and instance list."""

from __future__ import annotations

import re
import time
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

import bottle
import gevent
from gevent.event import Event
from pydantic import BaseModel, ConfigDict, ValidationError

from .listener import Listener
from .serving import json_reply, request_body

if TYPE_CHECKING:
    from collections.abc import Callable

HANG_S = 3600.0
MAX_WAIT_MS = 60_000

_REVISION = re.compile(r"^revision:\s*(\d+)\s*$", re.MULTILINE)


class Outage(Enum):
    """How the platform fails."""

    NONE = ""
    ERROR = "error"
    HANG = "hang"


class InstanceEntry(BaseModel):
    """One daemon in the instance list."""

    model_config = ConfigDict(extra="forbid")

    name: str
    address: str
    domain: str
    leaving: bool = False


class PlatformControl(BaseModel):
    """A control request to the platform; omitted fields stay unchanged."""

    model_config = ConfigDict(extra="forbid")

    publish: str | None = None
    """The text of a new document, valid or not."""
    serve_revision: int | None = None
    """Serve this published revision, as a stale or restored service does; 0 for the newest."""
    outage: Outage | None = None
    instances: tuple[InstanceEntry, ...] | None = None
    instances_lag_s: float | None = None


@dataclass(frozen=True, slots=True)
class Document:
    """A published document and its revision."""

    revision: int
    text: str


@dataclass(frozen=True, slots=True)
class InstanceList:
    """An instance list; ``set_at`` is the time when it was set, in Unix seconds."""

    set_at: float
    version: int
    instances: tuple[InstanceEntry, ...]


class Platform:
    """The platform's state without its sockets."""

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self.calls: Counter[str] = Counter()
        self.outage = Outage.NONE
        self.instances_lag_s = 0.0
        self._clock = clock
        self._documents: list[Document] = []
        self._served_revision = 0
        self._instance_lists = [InstanceList(0.0, 0, ())]
        self._changed = Event()

    def control(self, change: PlatformControl) -> None:
        """Apply *change* and wake all waiting watches."""
        if change.publish is not None:
            self.publish(change.publish)
        if change.serve_revision is not None:
            self._served_revision = change.serve_revision
        if change.outage is not None:
            self.outage = change.outage
        if change.instances_lag_s is not None:
            self.instances_lag_s = change.instances_lag_s
        if change.instances is not None:
            version = self._instance_lists[-1].version + 1
            self._instance_lists.append(InstanceList(self._clock(), version, change.instances))
        self._wake_watches()

    def publish(self, text: str) -> Document:
        """Publish *text*, with the revision it states or else the last one plus 1."""
        match = _REVISION.search(text)
        last = self._documents[-1].revision if self._documents else 0
        document = Document(int(match[1]) if match else last + 1, text)
        self._documents.append(document)
        self._wake_watches()
        return document

    def document(self) -> Document | None:
        """Return the document that the service currently serves."""
        if self._served_revision:
            for document in reversed(self._documents):
                if document.revision == self._served_revision:
                    return document
        return self._documents[-1] if self._documents else None

    def wait_for_change(self, revision: int, wait_s: float) -> Document | None:
        """Return a document with another revision, or ``None`` after *wait_s* or on an outage."""
        deadline = time.monotonic() + wait_s
        while True:
            document = self.document()
            if document is not None and document.revision != revision:
                return document
            changed = self._changed
            left_s = deadline - time.monotonic()
            if self.outage is not Outage.NONE or left_s <= 0 or not changed.wait(left_s):
                return None

    def instance_list(self) -> InstanceList:
        """Return the newest instance list that was set at least ``instances_lag_s`` ago."""
        cutoff = self._clock() - self.instances_lag_s
        visible = [entry for entry in self._instance_lists if entry.set_at <= cutoff]
        return visible[-1]

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()


class ServedPlatform:
    """The platform with its listener.

    In addition to the paths that daemons read, it serves ``POST /control`` and ``GET /calls``,
    which returns the number of calls by path.
    """

    def __init__(self) -> None:
        self.platform = Platform()
        app = bottle.Bottle()
        app.get("/configuration", callback=self._configuration)
        app.get("/instances", callback=self._instances)
        app.get("/calls", callback=lambda: json_reply(dict(self.platform.calls)))
        app.post("/control", callback=self._control)
        self.listener = Listener(app)
        self.listener.open()

    def _configuration(self) -> bottle.HTTPResponse:
        after = int(bottle.request.query.get("after", "-1"))
        wait_ms = min(MAX_WAIT_MS, float(bottle.request.query.get("wait_ms", "0")))
        failure = self._count_call("configuration")
        if failure is not None:
            return failure
        document = self.platform.wait_for_change(after, wait_ms / 1000)
        failure = self._outage_response()
        if failure is not None:
            return failure
        if document is None:
            return bottle.HTTPResponse(status=304 if self.platform.document() else 404)
        return json_reply({"revision": document.revision, "text": document.text})

    def _instances(self) -> bottle.HTTPResponse:
        failure = self._count_call("instances")
        if failure is not None:
            return failure
        current = self.platform.instance_list()
        instances: list[dict[str, Any]] = [entry.model_dump() for entry in current.instances]
        return json_reply({"version": current.version, "instances": instances})

    def _control(self) -> bottle.HTTPResponse:
        try:
            change = PlatformControl.model_validate_json(request_body())
        except ValidationError as exc:
            return json_reply({"error": str(exc)}, status=400)
        self.platform.control(change)
        return json_reply({})

    def _count_call(self, path: str) -> bottle.HTTPResponse | None:
        self.platform.calls[path] += 1
        return self._outage_response()

    def _outage_response(self) -> bottle.HTTPResponse | None:
        if self.platform.outage is Outage.HANG:
            gevent.sleep(HANG_S)
        if self.platform.outage is not Outage.NONE:
            return json_reply({"error": "out of service"}, status=503)
        return None
