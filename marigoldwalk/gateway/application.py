"""Assembly and life cycle of a gateway daemon."""

from __future__ import annotations

import logging
import signal
import sys
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event

from ..daemon.http_server import ARRIVAL_GRACE_S, CallerTimeouts, make_server
from ..daemon.log_output import NonBlockingHandler
from ..daemon.logs import configure_logs
from ..metrics.recorder import Recorder
from ..routing.delegation import Delegation
from ..routing.membership import MemberReport, Membership
from ..routing.quotas import WorkspaceQuotas
from ..routing.readers import Readers
from ..routing.router import Router
from ..routing.senders import Senders
from ..routing.world import RoutingWorld
from ..util.clock import Clock
from ..util.listening import adopt, bound_address, listen
from .connection_pool import ConnectionPool
from .delegate_client import ELAPSED_KEY, DelegateClient
from .executor import ActionExecutor
from .frontend import Frontend
from .gossip import GossipTransport
from .quota_exchange import QuotaExchange
from .reporter import Reporter
from .start_gate import StartGate
from .store_watcher import StoreWatcher

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterable

    from ..config.view import Address
    from ..daemon.http_server import WsgiApplication
    from .admin import GatewayAdmin
    from .header_codec import HeaderCodec
    from .settings import GatewaySettings
    from .store_interface import Store

logger = logging.getLogger(__name__)

IDLE_SWEEP_INTERVAL_S = 0.25
"""Interval between checks for pooled connections that have reached their idle timeout."""
BALANCER_NOTICE_S = 2.6
"""Time until the balancer notices that the daemon is not ready: two of its readiness checks, which
come once a second, and their response times."""
FORCED_STOP_MARGIN_S = 0.5
"""Time before the end of the grace period at which the daemon aborts the remaining requests."""
LAST_ANSWER_MARGIN_S = 0.3
"""Time before that at which it answers all requests that it has accepted."""
DRAIN_POLL_S = 0.02


class Gateway:
    """A gateway daemon: routing, HTTP servers, gossip and the store watcher.

    ::

        gateway = Gateway(settings, codec, open_store)
        status = gateway.run()

    *open_store* takes a function that returns whether the last read is fresh. It returns the store
    and a WSGI application that serves a mirror of it to other daemons. *caller_listener* is a
    socket that may listen on the callers' address already.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        codec: HeaderCodec,
        open_store: Callable[[Callable[[], bool]], tuple[Store, WsgiApplication]],
        caller_listener: socket.socket | None = None,
    ) -> None:
        self.settings = settings
        self._clock = Clock()
        now = self._clock.now
        self.world = RoutingWorld(settings.domain, settings.limits, now())
        counters = self.world.counters
        router = Router(self.world)
        self._pool = ConnectionPool(now, counters)
        self._executor = ActionExecutor(router, self._pool, codec, now, self._report_isolation)
        self._membership = self._make_membership()
        self.delegation = Delegation(self._membership, now())
        delegate_client = DelegateClient(self.delegation, self._pool, now, counters)
        self._recorder = Recorder()
        reporter = Reporter(counters, self._recorder)
        has_seeds = any(seed != settings.peer_address for seed in settings.seeds)
        self._quotas = WorkspaceQuotas(self.world, self._membership, has_seeds)
        quota_exchange = QuotaExchange(self._quotas, self._membership, now, counters)
        start_gate = StartGate(now, counters)
        self._frontend = Frontend(
            router,
            self._executor,
            delegate_client,
            codec,
            reporter,
            start_gate,
            now,
            quota_exchange,
        )
        store, mirror_app = open_store(self._is_fresh)
        readers = Readers(self._membership)
        self._store_watcher = StoreWatcher(
            store, readers, self.world.catalog, now, counters, start_gate.open
        )
        self._caller_listener = adopt(caller_listener, settings.caller_address)
        self._caller_server = make_server(
            self._caller_listener,
            self._frontend.handle_caller,
            self._caller_timeouts,
            self._frontend.record_malformed,
        )
        peer_app = _dispatch(mirror_app, self._frontend.handle_peer)
        self._peer_listener = listen(settings.peer_address)
        self._peer_server = make_server(self._peer_listener, peer_app)
        self._readiness_server = make_server(
            listen(settings.readiness_address), _readiness_app(self.is_ready)
        )
        self._admin: GatewayAdmin | None = None
        self._admin_server = None
        if settings.admin_address is not None:
            self._admin_listener = listen(settings.admin_address)
            self._admin_server = make_server(self._admin_listener, self._handle_admin)
        self._gossip = GossipTransport(
            self._membership,
            self.world.suspects,
            settings.peer_address,
            now,
            counters,
            self._on_members_changed,
            quota_exchange,
        )
        self._on_members_changed()
        self._stop_requested = Event()
        self._stop_at = float("inf")
        """When a requested stop aborts what is left."""

    def _caller_timeouts(self) -> CallerTimeouts:
        """Return the time limits for callers from the current configuration."""
        config = self.world.catalog.config
        if config is None:
            return CallerTimeouts()
        return CallerTimeouts(config.limits.idle_timeout_s, config.limits.header_timeout_s)

    def _make_membership(self) -> Membership:
        settings = self.settings
        incarnation = int(self._clock.started_at * 1000)
        own = MemberReport(
            settings.name, settings.peer_address, incarnation, 0, settings.domain, settings.cores
        )
        return Membership(own, settings.seeds, self._clock.now())

    def _handle_admin(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Handle an administration request; the first one loads the application.

        Its libraries take a tenth of the CPU time of a start, and callers wait for starts.
        """
        if self._admin is None:
            from .admin import GatewayAdmin

            self._admin = GatewayAdmin(
                self.world, self._membership, self.delegation, self._recorder, self._quotas
            )
        return self._admin.app(environ, start_response)

    def _on_members_changed(self) -> None:
        """Recompute this daemon's share of the fleet's limits."""
        world = self.world
        now = self._clock.now()
        self.delegation.update(world.catalog.min_shard_connections, now)
        if world.catalog.config is not None and world.catalog.config.workspaces:
            self._quotas.members_changed(now)
        senders = Senders(
            self.settings.name,
            self._membership.possible_member_names(),
            self.delegation.all_delegate_names,
        )
        if senders != world.senders:
            world.senders = senders
            world.catalog.daemon_name = senders.own
        world.shard_share = self.delegation.shard_share
        world.is_delegate = self.delegation.is_delegate

    def _report_isolation(self, is_isolated: bool) -> None:
        self._membership.set_isolated(is_isolated)
        self._on_members_changed()

    @property
    def caller_address(self) -> Address:
        """Address on which callers connect."""
        return bound_address(self._caller_listener)

    @property
    def peer_address(self) -> Address:
        """Address on which other daemons connect."""
        return bound_address(self._peer_listener)

    @property
    def admin_address(self) -> Address:
        """Address on which operators connect."""
        return bound_address(self._admin_listener)

    @property
    def open_count(self) -> int:
        """Number of requests in progress."""
        return self._executor.open_count

    def is_ready(self) -> bool:
        """Return whether the balancer should send new connections to this daemon."""
        if self.world.catalog.config is None or self._frontend.is_stopping:
            return False
        return not self.world.reachability.is_isolated or self._frontend.can_forward()

    def run(self) -> int:
        """Run until a planned stop is complete; returns the exit status."""
        self._gossip.start()
        self._store_watcher.start()
        self._readiness_server.start()
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
        """Stop all servers and background tasks immediately."""
        gevent.killall([self._sweeper], block=False)
        self._executor.stop()
        self._store_watcher.stop()
        self._gossip.stop()
        self._pool.close_all()
        self._caller_server.stop(timeout=0)
        self._peer_server.stop(timeout=0)
        self._readiness_server.stop(timeout=0)
        if self._admin_server is not None:
            self._admin_server.stop(timeout=0)

    def request_stop(self) -> None:
        """Start a planned stop: report not ready, and close connections after their answers."""
        if self._frontend.is_stopping:
            return
        logger.info("stop requested", extra={"fields": {"open": self._caller_server.open_requests}})
        self._stop_at = self._clock.now() + self.settings.grace_s - FORCED_STOP_MARGIN_S
        self._frontend.begin_stop(self._stop_at - LAST_ANSWER_MARGIN_S)
        self._membership.leave()
        self._stop_requested.set()

    def reload(self) -> None:
        """Log the reload request; changed settings take effect at the next start."""
        logger.info("reload requested")

    def _drain(self) -> None:
        """Serve until the balancer stops sending connections and open requests have ended.

        If the balancer goes on, requests in transit still have to be read and refused before the
        daemon ends, so the listener is closed before the last answers are due.
        """
        gevent.sleep(min(BALANCER_NOTICE_S, self.settings.grace_s / 2))
        self._caller_server.close_idle()
        close_at = self._stop_at - LAST_ANSWER_MARGIN_S - ARRIVAL_GRACE_S
        while self._clock.now() < close_at and self._has_open_requests():
            gevent.sleep(DRAIN_POLL_S)
        self._caller_server.drain(max(0.0, self._stop_at - self._clock.now()))
        while self._clock.now() < self._stop_at and self._frontend.open_peer_requests:
            gevent.sleep(DRAIN_POLL_S)

    def _is_fresh(self) -> bool:
        return self._store_watcher.is_fresh()

    def _has_open_requests(self) -> bool:
        return bool(self._caller_server.open_requests or self._peer_server.open_requests)

    def _sweep(self) -> None:
        while True:
            gevent.sleep(IDLE_SWEEP_INTERVAL_S)
            self._pool.close_expired()


def serve(make_gateway: Callable[[], Gateway], name: str, log_level: str) -> int:
    """Run a gateway in this process until SIGTERM or SIGINT; returns the exit status."""
    configure_logs(name, log_level, NonBlockingHandler(sys.stdout.fileno()))
    gateway = make_gateway()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, gateway.request_stop)
    gevent.signal_handler(signal.SIGHUP, gateway.reload)
    return gateway.run()


def _dispatch(mirror_app: WsgiApplication, query_app: WsgiApplication) -> WsgiApplication:
    """Return the application for peers, which serves store reads and delegated queries."""

    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        is_store_call = ELAPSED_KEY not in environ
        return (mirror_app if is_store_call else query_app)(environ, start_response)

    return app


def _readiness_app(is_ready: Callable[[], bool]) -> WsgiApplication:
    """Return the application for the load balancer's readiness check, which may use any path."""

    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        status = HTTPStatus.OK if is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        start_response(f"{status.value} {status.phrase}", [("Content-Length", "0")])
        return []

    return app
