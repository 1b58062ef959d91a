"""Steps that property-based tests run against a fleet in virtual time."""

from __future__ import annotations

FAST_LATENCY_S = 0.005


class Scenario:
    """Runs steps, given by method name, against :attr:`fleet`, which a subclass creates."""

    slow_s = 0.2
    """Latency of a server that the ``slow`` step has slowed down."""

    def run(self, scenario: list) -> None:
        for delay_s, (kind, argument) in scenario:
            self.fleet.run(delay_s)
            getattr(self, kind)(argument)
        self.fleet.run(2.0)

    def _server(self, number: int):
        return self.fleet.servers[sorted(self.fleet.servers)[number]]

    def crash(self, number: int) -> None:
        if self._server(number).up:
            self.fleet.crash_server(self._server(number).name)

    def slow(self, number: int) -> None:
        server = self._server(number)
        server.latency_s = FAST_LATENCY_S if server.latency_s > 0.1 else self.slow_s
