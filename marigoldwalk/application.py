"""The daemon as one object, and the function that runs it as a process."""

from __future__ import annotations

import logging
import signal
from collections import Counter
from typing import TYPE_CHECKING

import gevent

from .config.acceptance import accept
from .core.composition import Core
from .core.events import StopRequested
from .core.world import Identity
from .daemon.admin import Admin
from .daemon.backends import Backends
from .daemon.core_loop import CoreLoop
from .daemon.executor import IoLayer, execute
from .daemon.frontend import Frontend
from .daemon.http_server import make_server
from .daemon.logs import configure_logs
from .daemon.peers import Peers
from .daemon.platform import PlatformClient
from .daemon.readiness import Readiness
from .metrics.recorder import Recorder
from .util.clock import Clock
from .util.listening import bound_address, listen

if TYPE_CHECKING:

    from .config.settings import Settings
    from .config.view import Address

logger = logging.getLogger(__name__)

DRAIN_TIMEOUT_S = 2.0
"""Time limit for sending the last answers to callers during a planned stop."""


class Application:
    """One daemon: the core, and the I/O layer that executes its actions.

    ::

        app = Application(settings)
        status = app.run()

    The constructor binds the ports; if a port is in use, it raises :class:`MarigoldwalkError` with
    ``PORT_TAKEN``. Several applications can run in one process.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._clock = Clock()
        self._caller_listener = listen(settings.caller_address)
        self._peer_listener = listen(settings.peer_address)
        self._admin_listener = listen(settings.admin_address)
        identity = Identity(
            settings.name,
            settings.domain,
            bound_address(self._peer_listener),
            self._clock.started_at,
        )
        self.core = Core(identity, settings.parameters, accept)
        self._readiness = Readiness()
        self._recorder = Recorder()
        self._counters: Counter[str] = Counter()
        self._make_io_layer(identity)

    def _make_io_layer(self, identity: Identity) -> None:
        settings = self.settings
        self._loop = CoreLoop(self.core, self._clock, self._execute, self._counters)
        post = self._loop.post
        self._frontend = Frontend(
            settings.name, post, self._readiness, self._counters, settings.max_body_bytes
        )
        incarnation = f"{identity.name}:{identity.started_at:.3f}"
        self._backends = Backends(incarnation, self._clock, post, self._slots_of)
        self._peers = Peers(settings.name, self._peer_listener, post, self._counters)
        self._platform = PlatformClient(settings.platform, self._clock, post)
        admin = Admin(self.core.world, self._recorder, self._readiness, self._counters)
        self._caller_server = make_server(self._caller_listener, self._frontend.app)
        self._admin_server = make_server(self._admin_listener, admin.app)
        self._io_layer = IoLayer(
            self._loop,
            self._frontend,
            self._backends,
            self._peers,
            self._platform,
            self._readiness,
            self._recorder,
        )

    @property
    def caller_address(self) -> Address:
        """The address on which this daemon accepts callers."""
        return bound_address(self._caller_listener)

    @property
    def admin_address(self) -> Address:
        """The address on which this daemon accepts operators."""
        return bound_address(self._admin_listener)

    def run(self) -> int:
        """Run until a planned stop is complete or the core fails; return the exit status."""
        self._start()
        try:
            self._loop.run()
            self._frontend.close(self._loop.drain_events())
            self._caller_server.drain(DRAIN_TIMEOUT_S)
        finally:
            self._stop()
        return 1 if self._loop.failed else 0

    def request_stop(self) -> None:
        """Request a planned stop."""
        self._loop.post(StopRequested())

    def _start(self) -> None:
        self._backends.start()
        self._peers.start()
        self._admin_server.start()
        self._caller_server.start()
        self._platform.start()
        logger.info("started")

    def _stop(self) -> None:
        self._platform.stop()
        self._caller_server.stop(timeout=0)
        self._backends.stop()
        self._peers.stop()
        self._admin_server.stop(timeout=0)
        logger.info("stopped")

    def _execute(self, action: object) -> None:
        execute(self._io_layer, action)

    def _slots_of(self, server: str) -> int:
        view = self.core.world.view
        entry = view.server_by_name.get(server) if view else None
        return entry.slots if entry else 1


def serve(settings: Settings) -> int:
    """Run a daemon in this process until SIGTERM or SIGINT; return the exit status."""
    configure_logs(settings.name, settings.log_level)
    app = Application(settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, app.request_stop)
    return app.run()
