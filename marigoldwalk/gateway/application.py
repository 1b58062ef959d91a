"""A gateway daemon in one object, and the process around it."""

from __future__ import annotations

import logging
import signal
import sys
from typing import TYPE_CHECKING, Any

import bottle
import gevent
from gevent.event import Event

from ..daemon.http_server import Patience, make_server
from ..daemon.log_output import LineOutput
from ..daemon.logs import configure_logs
from ..metrics.recorder import Recorder
from ..routing.delegation import Delegation
from ..routing.membership import MemberReport, Membership
from ..routing.readers import Readers
from ..routing.router import Router
from ..routing.world import RoutingWorld
from ..util.clock import Clock
from ..util.listening import bound_address, listen
from .carrying import ELAPSED_KEY, Carrying
from .feed import Feed
from .front import Front
from .gossip import GossipLink
from .links import Links
from .performer import Performer
from .report import Reporter

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..config.view import Address
    from ..daemon.http_server import WsgiApplication
    from .admin import GatewayAdmin
    from .dialect import Dialect
    from .facts import Store
    from .settings import GatewaySettings

logger = logging.getLogger(__name__)

SWEEP_S = 0.25
"""Pause between two looks for connections that have been idle for long."""
ROTATION_S = 2.6
"""Time until the balancer has noticed that the daemon is not ready: two of its questions, which
come once a second, and the time of their answers."""
LAST_S = 0.5
"""Time before the end of the grace time at which the daemon ends whatever still runs."""
POLL_S = 0.02


class Gateway:
    """One gateway daemon: routing, and the shells around it.

    ::

        gateway = Gateway(settings, dialect, open_store)
        status = gateway.run()

    *open_store* takes a function that tells whether what was read is fresh, and returns the store
    and a WSGI application that serves a copy of it to other daemons.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        open_store: Callable[[Callable[[], bool]], tuple[Store, WsgiApplication]],
    ) -> None:
        self.settings = settings
        self._clock = Clock()
        now = self._clock.now
        self.world = RoutingWorld(settings.domain, settings.limits, now())
        counters = self.world.counters
        router = Router(self.world)
        self._links = Links(now, counters)
        self._performer = Performer(router, self._links, dialect, now)
        self._membership = self._make_membership()
        self.delegation = Delegation(self._membership)
        carrying = Carrying(self.delegation, self._links, now, counters)
        self._recorder = Recorder()
        reporter = Reporter(counters, self._recorder)
        self._front = Front(router, self._performer, carrying, dialect, reporter, now)
        store, copy_app = open_store(self._is_fresh)
        readers = Readers(self._membership)
        self._feed = Feed(store, readers, self.world.catalog, now, counters)
        self._caller_listener = listen(settings.caller_address)
        self._caller_server = make_server(
            self._caller_listener, self._front.callers, self._patience
        )
        peer_app = _dispatch(copy_app, self._front.peers)
        self._peer_listener = listen(settings.peer_address)
        self._peer_server = make_server(self._peer_listener, peer_app)
        self._ready_server = make_server(
            listen(settings.readiness_address), _readiness_app(self.is_ready)
        )
        self._admin: GatewayAdmin | None = None
        self._admin_server = None
        if settings.admin_address is not None:
            self._admin_listener = listen(settings.admin_address)
            self._admin_server = make_server(self._admin_listener, self._administer)
        self._gossip = GossipLink(
            self._membership,
            self.world.suspects,
            settings.peer_address,
            now,
            counters,
            self._note_members,
        )
        self._note_members()
        self._stop_requested = Event()

    def _patience(self) -> Patience:
        """Return how long callers may take, as the configuration in force has it."""
        config = self.world.catalog.config
        if config is None:
            return Patience()
        return Patience(config.limits.idle_timeout_s, config.limits.header_timeout_s)

    def _make_membership(self) -> Membership:
        settings = self.settings
        incarnation = int(self._clock.started_at * 1000)
        own = MemberReport(
            settings.name, settings.peer_address, incarnation, 0, settings.domain, settings.cores
        )
        return Membership(own, settings.seeds, self._clock.now())

    def _administer(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer an operator, by an application that is loaded with the first question.

        Its libraries take a tenth of a start's processor time, and callers wait for starts.
        """
        if self._admin is None:
            from .admin import GatewayAdmin

            self._admin = GatewayAdmin(
                self.world, self._membership, self.delegation, self._recorder
            )
        return self._admin.app(environ, start_response)

    def _note_members(self) -> None:
        """Divide what the fleet may send among its members anew."""
        world = self.world
        world.members = self._membership.possible_member_count()
        self.delegation.update(world.catalog.min_shard_connections, self._clock.now())
        world.shard_share = self.delegation.shard_share

    @property
    def caller_address(self) -> Address:
        """Where callers reach this daemon."""
        return bound_address(self._caller_listener)

    @property
    def peer_address(self) -> Address:
        """Where other daemons reach this one."""
        return bound_address(self._peer_listener)

    @property
    def admin_address(self) -> Address:
        """Where operators reach this daemon."""
        return bound_address(self._admin_listener)

    @property
    def open_count(self) -> int:
        """How many requests have work under way."""
        return self._performer.open_count

    def is_ready(self) -> bool:
        """Return whether the balancer should send new connections here."""
        return self.world.catalog.config is not None and not self._front.is_stopping

    def run(self) -> int:
        """Work until a planned stop is complete; returns the exit status."""
        self._gossip.start()
        self._feed.start()
        self._ready_server.start()
        if self._admin_server is not None:
            self._admin_server.start()
        self._peer_server.start()
        self._caller_server.start()
        self._sweeper = gevent.spawn(self._sweep)
        logger.info("started", extra={"fields": {"domain": self.settings.domain}})
        self._stop_requested.wait()
        self._drain()
        self.close()
        logger.info("stopped", extra={"fields": dict(self.world.counters)})
        return 0

    def close(self) -> None:
        """End everything at once."""
        gevent.killall([self._sweeper], block=False)
        self._feed.stop()
        self._gossip.stop()
        self._links.close_all()
        self._caller_server.stop(timeout=0)
        self._peer_server.stop(timeout=0)
        self._ready_server.stop(timeout=0)
        if self._admin_server is not None:
            self._admin_server.stop(timeout=0)

    def request_stop(self) -> None:
        """Begin a planned stop: no longer ready, and connections end after their answers."""
        logger.info("stop requested", extra={"fields": {"open": self._caller_server.open_requests}})
        self._front.is_stopping = True
        self._membership.leave()
        self._stop_requested.set()

    def reload(self) -> None:
        """Note a reload; the settings that may change take effect at the next start."""
        logger.info("reload requested")

    def _drain(self) -> None:
        """Serve until the balancer sends no more and open requests have ended."""
        began_at = self._clock.now()
        gevent.sleep(min(ROTATION_S, self.settings.grace_s / 2))
        self._caller_server.close_idle()
        end_at = began_at + self.settings.grace_s - LAST_S
        while self._clock.now() < end_at and self._has_open_requests():
            gevent.sleep(POLL_S)
        self._caller_server.finish(max(0.0, end_at - self._clock.now()))

    def _is_fresh(self) -> bool:
        return self._feed.is_fresh()

    def _has_open_requests(self) -> bool:
        return bool(self._caller_server.open_requests or self._peer_server.open_requests)

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_S)
            self._links.close_expired()


def serve(make_gateway: Callable[[], Gateway], name: str, log_level: str) -> int:
    """Run a gateway in this process until SIGTERM or SIGINT; returns the exit status."""
    configure_logs(name, log_level, LineOutput(sys.stdout.fileno()))
    gateway = make_gateway()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, gateway.request_stop)
    gevent.signal_handler(signal.SIGHUP, gateway.reload)
    return gateway.run()


def _dispatch(copy_app: WsgiApplication, queries: WsgiApplication) -> WsgiApplication:
    """Return an application for what daemons ask each other: the copy of the store, or a query."""

    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        asks_copy = ELAPSED_KEY not in environ
        return (copy_app if asks_copy else queries)(environ, start_response)

    return app


def _readiness_app(is_ready: Callable[[], bool]) -> bottle.Bottle:
    app = bottle.Bottle()

    def answer(path: str = "") -> bottle.HTTPResponse:
        return bottle.HTTPResponse("", 200 if is_ready() else 503)

    app.route("/", "GET", answer)
    app.route("/<path:path>", "GET", answer)
    return app
