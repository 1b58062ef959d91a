"""HTTP interface of stand-in backend servers, many of which share a process."""

from __future__ import annotations

import json
import socket
import time
from typing import TYPE_CHECKING, Any

import bottle
import gevent
from pydantic import ValidationError

from .behaviour import Control
from .listener import SOCKET_KEY, Listener
from .server import BackendServer
from .subrequests import ActiveSubrequest, CancelRequest, Subrequest

if TYPE_CHECKING:
    from .behaviour import Behaviour, ServersFile, ServerSpec
    from .data import Dataset

READABLE = 1
"""Event mask of a loop watcher that fires when its socket is readable."""

JSON_TYPE = "application/json"


def json_reply(data: Any, status: int = 200) -> bottle.HTTPResponse:
    """Return *data* as a JSON response."""
    body = json.dumps(data, ensure_ascii=False).encode()
    return bottle.HTTPResponse(body, status=status, headers={"Content-Type": JSON_TYPE})


def request_body() -> bytes:
    """Return the body of the current request.

    All greenlets share bottle's request object, and reading the body may switch greenlets. A
    handler must therefore read everything else that it needs from the request before this call.
    """
    return bottle.request.environ["wsgi.input"].read()


class ClosedConnectionWatch:
    """Context manager that cancels a subrequest when its connection is closed.

    It surrounds the handling of the subrequest.
    """

    def __init__(self, sock: Any, active: ActiveSubrequest) -> None:
        self._sock = sock
        self._active = active
        self._watcher: Any = None

    def __enter__(self) -> ClosedConnectionWatch:
        self._watcher = gevent.get_hub().loop.io(self._sock.fileno(), READABLE)
        self._watcher.start(self._check_closed)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._watcher.close()

    def _check_closed(self) -> None:
        self._watcher.stop()
        try:
            closed = not self._sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            closed = False
        except OSError:
            closed = True
        if closed:
            self._active.cancel()


class ServedServer:
    """A backend server with its listener."""

    def __init__(self, spec: ServerSpec, data: Dataset, behaviour: Behaviour) -> None:
        self.listener = Listener(
            self._app(),
            limit=lambda: spec.connections,
            connect_s=lambda: self.server.behaviour.connect_ms / 1000,
            on_refused=self._connection_refused,
            on_open=self._connection_opened,
        )
        self.server = BackendServer(
            spec,
            data,
            behaviour,
            stop_listening=self.listener.stop,
            start_listening=self.listener.open,
        )
        self.listener.open()

    def _connection_refused(self) -> None:
        self.server.journal.connections_refused += 1

    def _connection_opened(self, count: int) -> None:
        journal = self.server.journal
        journal.connections_peak = max(journal.connections_peak, count)

    def _app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.post("/search", callback=self._search)
        app.post("/cancel", callback=self._cancel)
        app.get("/health", callback=lambda: json_reply(self.server.health()))
        add_control_routes(app, self)
        return app

    def _search(self) -> bottle.HTTPResponse:
        sock = bottle.request.environ[SOCKET_KEY]
        try:
            req = Subrequest.model_validate_json(request_body())
        except ValidationError as exc:
            return json_reply({"error": str(exc)}, status=400)
        active = ActiveSubrequest(req.attempt, time.time() + req.deadline_ms / 1000)
        with ClosedConnectionWatch(sock, active):
            return json_reply(self.server.search(req, active))

    def _cancel(self) -> bottle.HTTPResponse:
        try:
            req = CancelRequest.model_validate_json(request_body())
        except ValidationError as exc:
            return json_reply({"error": str(exc)}, status=400)
        return json_reply({"cancelled": self.server.cancel(req.attempt)})


def add_control_routes(app: bottle.Bottle, served: ServedServer, prefix: str = "") -> None:
    """Add ``POST /control`` and ``GET /journal`` for one server to *app*."""

    def control() -> bottle.HTTPResponse:
        try:
            change = Control.model_validate_json(request_body())
        except ValidationError as exc:
            return json_reply({"error": str(exc)}, status=400)
        served.server.control(change)
        return json_reply({"incarnation": served.server.incarnation.name})

    def journal() -> bottle.HTTPResponse:
        return json_reply(served.server.journal.summary(_after_parameter()))

    app.post(f"{prefix}/control", callback=control)
    app.get(f"{prefix}/journal", callback=journal)


class ServerProcess:
    """Backend servers that share a process, and one listener that controls them all.

    The control listener stays reachable while a server is down or has no free connections. It
    serves ``POST /NAME/control``, ``GET /NAME/journal``, ``POST /control`` for all servers and
    ``GET /journals``. In a journal, ``received`` counts arrivals later than the query parameter
    ``after``, in Unix seconds.
    """

    def __init__(self, servers_file: ServersFile, data: Dataset) -> None:
        self.served: dict[str, ServedServer] = {}
        for spec in servers_file.servers:
            snapshots = servers_file.snapshots_by_index[spec.index]
            behaviour = servers_file.behaviour.model_copy(update={"snapshots": snapshots})
            self.served[spec.name] = ServedServer(spec, data, behaviour)
        app = bottle.Bottle()
        app.get("/journals", callback=self._journals)
        app.post("/control", callback=self._control_all)
        for name, served in self.served.items():
            add_control_routes(app, served, prefix=f"/{name}")
        self.control_listener = Listener(app)
        self.control_listener.open()

    def addresses(self) -> dict[str, str]:
        """Return the address of each server by its name."""
        return {name: served.listener.address for name, served in self.served.items()}

    def close(self) -> None:
        """Close every listener."""
        for served in self.served.values():
            served.listener.close()
        self.control_listener.close()

    def _journals(self) -> bottle.HTTPResponse:
        after = _after_parameter()
        return json_reply(
            {name: served.server.journal.summary(after) for name, served in self.served.items()}
        )

    def _control_all(self) -> bottle.HTTPResponse:
        try:
            change = Control.model_validate_json(request_body())
        except ValidationError as exc:
            return json_reply({"error": str(exc)}, status=400)
        for served in self.served.values():
            served.server.control(change)
        return json_reply({})


def _after_parameter() -> float:
    return float(bottle.request.query.get("after", "0"))
