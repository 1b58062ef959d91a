"""The administration API of a gateway daemon, for operators and monitoring."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import bottle
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from ..daemon.error_responses import error_response, unhandled_error_response
from ..errors import Code, RefusalReason
from ..metrics.export import PREFIX, counter_families, make_registry, render
from .config_dump import dump_config

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.metrics_core import Metric

    from ..metrics.recorder import Recorder
    from ..routing.delegation import Delegation
    from ..routing.membership import Membership
    from ..routing.model import Workspace
    from ..routing.quotas import WorkspaceQuotas
    from ..routing.tables import ServerRow
    from ..routing.world import RoutingWorld


class GatewayAdmin:
    """A read-only WSGI application, :attr:`app`, that shows routing state and metrics."""

    def __init__(
        self,
        world: RoutingWorld,
        membership: Membership,
        delegation: Delegation,
        recorder: Recorder,
        quotas: WorkspaceQuotas,
    ) -> None:
        self.app = bottle.Bottle()
        self.app.route("/status", "GET", self._status)
        self.app.route("/explain/<route>", "GET", self._explain)
        self.app.route("/configuration", "GET", self._configuration)
        self.app.route("/metrics", "GET", self._metrics)
        self.app.default_error_handler = unhandled_error_response
        self._world = world
        self._membership = membership
        self._delegation = delegation
        self._quotas = quotas
        self._recorder = recorder
        self._registry = make_registry(recorder, self._metric_families)

    def _status(self) -> dict[str, Any]:
        catalog = self._world.catalog
        now = self._world.now
        return {
            "name": self._membership.own.name,
            "domain": self._world.domain,
            "version": catalog.config.version if catalog.config else None,
            "servers": len(catalog.rows),
            "excluded_domains": sorted(catalog.excluded_domains),
            "isolated": self._world.reachability.is_isolated,
            "members": [
                {
                    "name": row.report.name,
                    "state": row.state(now, self._membership.timeout_factor).value,
                    "isolated": row.report.is_isolated,
                }
                for row in self._membership.rows()
            ],
            "carriers": sorted(self._delegation.delegates),
            "news_age_s": round(now - catalog.confirmed_at, 2) if catalog.config else None,
            "workspaces": [
                self._describe_workspace(workspace, now)
                for workspace in (catalog.config.workspaces if catalog.config else ())
            ],
        }

    def _describe_workspace(self, workspace: Workspace, now: float) -> dict[str, Any]:
        """Return the configuration of a workspace and what this daemon knows of its quota."""
        state = self._quotas.states.get(workspace.name)
        bucket = self._quotas.buckets.get(workspace.name)
        refused = (workspace.name, RefusalReason.OVER_QUOTA.value)
        return {
            "name": workspace.name,
            "keys": len(workspace.key_digests),
            "priority": workspace.priority,
            "rate_per_s": workspace.rate_per_s,
            "burst": workspace.burst,
            "holders": self._quotas.holder_names(workspace.name, now),
            "left": round(bucket.tokens, 2) if bucket is not None else None,
            "scarce": state is not None and now < state.scarce_until,
            "over_quota": self._recorder.workspace_refusals[refused],
        }

    def _explain(self, route: str) -> bottle.HTTPResponse:
        catalog = self._world.catalog
        routes = catalog.config.routes if catalog.config else ()
        route_config = next((entry for entry in routes if entry.name == route), None)
        if route_config is None:
            return error_response(404, Code.UNKNOWN_GROUP, f"There is no route {route!r}.")
        rows = [
            self._describe_server(row)
            for service in route_config.services
            for row in catalog.registered_servers(service)
        ]
        return bottle.HTTPResponse(
            {
                "route": route_config.name,
                "idempotent": route_config.idempotent,
                "needs_key": bool(catalog.config.workspaces) and not route_config.is_public,
                "target_ms": route_config.target_s * 1000,
                "max_attempts": route_config.max_attempts,
                "servers": rows,
            }
        )

    def _configuration(self) -> dict[str, Any]:
        catalog = self._world.catalog
        config = catalog.config
        services = config.services if config is not None else ()
        return {
            "configuration": dump_config(config) if config is not None else None,
            "servers": {name: len(catalog.registered_servers(name)) for name in services},
        }

    def _describe_server(self, row: ServerRow) -> dict[str, Any]:
        now = self._world.now
        registration = row.registration
        return {
            "server": row.server_id,
            "service": registration.service,
            "domain": registration.domain,
            "draining": registration.draining,
            "excluded": registration.domain in self._world.catalog.excluded_domains,
            "limit_per_s": row.rate_limit.per_s if row.rate_limit is not None else None,
            "pace": round(row.pace.level(now), 2),
            "cold_s": round(max(0.0, row.cold_until - now), 2),
            "relative_latency": round(row.relative_latency(now), 2),
            "recent_failures": round(row.recent_failures(now), 2),
            "open": len(row.open_attempts),
            "stalled": row.is_stalled(now),
        }

    def _metrics(self) -> bottle.HTTPResponse:
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return bottle.HTTPResponse(render(self._registry), 200, headers)

    def _metric_families(self) -> Iterator[Metric]:
        world = self._world
        catalog = world.catalog
        yield from counter_families(world.counters)
        version = catalog.config.version if catalog.config else 0
        yield _gauge("version", "Version of the configuration in force", version)
        yield _gauge("servers", "Registered backend servers", len(catalog.rows))
        yield _gauge("members", "Daemons that may be sending", world.member_count)
        reachability = world.reachability
        isolated = int(reachability.is_isolated)
        yield _gauge("isolated", "Whether this daemon reaches no backend server", isolated)
        yield _gauge(
            "servers_silent",
            "Servers that have failed since any server was last heard from",
            reachability.silent_count,
        )
        yield _gauge(
            "servers_unopened",
            "Servers that took no connection since the last one that did",
            reachability.unopened_count,
        )
        refusals = CounterMetricFamily(
            f"{PREFIX}_workspace_refusal",
            "Requests of a workspace that were refused or failed",
            labels=["workspace", "reason"],
        )
        for labels, count in sorted(self._recorder.workspace_refusals.items()):
            refusals.add_metric(labels, count)
        yield refusals
        yield _gauge("timer_lag_seconds", "How late due answers have left", world.answer_lag.lag_s)


def _gauge(name: str, help_text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"{PREFIX}_{name}", help_text, value)
