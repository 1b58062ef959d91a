"""The administration interface for operators and monitoring."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import bottle
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client.core import GaugeMetricFamily

from ..errors import Code
from ..metrics.export import PREFIX, counter_families, make_registry, render
from .error_responses import error_response, unhandled_error_response
from .explain import explain, status
from .frontend import readiness_response

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator

    from prometheus_client.metrics_core import Metric

    from ..core.world import World
    from ..metrics.recorder import Recorder
    from .readiness import Readiness


class Admin:
    """A read-only WSGI application, :attr:`app`, that reports the core's tables."""

    def __init__(
        self,
        world: World,
        recorder: Recorder,
        readiness: Readiness,
        io_counters: Counter[str],
    ) -> None:
        self.app = bottle.Bottle()
        self.app.route("/status", "GET", self._status)
        self.app.route("/explain/<group>", "GET", self._explain)
        self.app.route("/metrics", "GET", self._metrics)
        self.app.route("/live", "GET", lambda: {"live": True})
        self.app.route("/ready", "GET", lambda: readiness_response(readiness))
        self.app.default_error_handler = unhandled_error_response
        self._world = world
        self._io_counters = io_counters
        self._registry = make_registry(recorder, self._metric_families)

    def _status(self) -> dict[str, Any]:
        return status(self._world)

    def _explain(self, group: str) -> bottle.HTTPResponse:
        found = explain(self._world, group)
        if found is None:
            return error_response(404, Code.UNKNOWN_GROUP, f"There is no group {group!r}.")
        return bottle.HTTPResponse(found)

    def _metrics(self) -> bottle.HTTPResponse:
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return bottle.HTTPResponse(render(self._registry), 200, headers)

    def _metric_families(self) -> Iterator[Metric]:
        world = self._world
        yield from counter_families(world.counters + self._io_counters)
        revision = world.view.revision if world.view else 0
        yield _gauge("revision", "Revision of the configuration in force", revision)
        yield _gauge(
            "ready", "Whether the daemon is ready for callers", int(world.daemon_state.ready)
        )
        reachable = sum(peer.reachable for peer in world.peers.values())
        yield _gauge("peers_reachable", "Daemons that can be reached", reachable)
        yield _gauge("queries_open", "Queries without an answer", len(world.queries))
        yield _gauge("subrequests_open", "Subrequests without a reply", len(world.attempts))


def _gauge(name: str, help_text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"{PREFIX}_{name}", help_text, value)
