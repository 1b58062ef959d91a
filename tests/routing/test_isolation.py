"""Load pattern: a daemon loses its links to all servers while others reach them."""

from __future__ import annotations

from marigoldwalk.routing.exchanges import CheckLinks, MergedAnswer
from marigoldwalk.routing.isolation import UNREACHABLE_ANSWER
from marigoldwalk.routing.reachability import (
    MIN_SILENT,
    MIN_UNOPENED,
    QUIET_S,
    SILENCE_S,
    Reachability,
)
from marigoldwalk.routing.tables import ServerRow

from .simulation import (
    REFUSED,
    SILENT,
    Simulation,
    fan_out_route,
    registration,
    server_reply,
    single_route,
)

DETECTION_S = 1.0
DOMAINS = ("north", "centre", "south")


class CuttableSimulation(Simulation):
    """A daemon whose links to servers of the domains in ``cut_domains`` are cut."""

    cut_domains = ()
    down = frozenset()
    """Servers that have crashed."""

    def cut(self, domains):
        self.cut_domains = domains

    def _answer(self, attempt):
        if attempt.row.registration.domain in self.cut_domains:
            return 0.0, SILENT
        if attempt.row.server_id in self.down:
            return 0.001, REFUSED
        return super()._answer(attempt)

    def _is_listening(self, server_id):
        if server_id in self.down:
            return False
        return self.world.catalog.rows[server_id].registration.domain not in self.cut_domains

    @property
    def is_isolated(self):
        return self.world.reachability.is_isolated

    def ask_for(self, seconds, per_s=20, path="/all/1"):
        for number in range(int(seconds * per_s)):
            self.ask(path, f"q-{self.now}-{number}")
            self.run(1 / per_s)


def shards(count):
    return {
        f"i-{n}-{copy}": (f"s-{n}", DOMAINS[(n + copy) % len(DOMAINS)])
        for n in range(count)
        for copy in range(2)
    }


def fan_out_simulation(count=6):
    route = fan_out_route([f"s-{n}" for n in range(count)])
    simulation = CuttableSimulation([route], shards(count))
    simulation.ask_for(1.0)
    return simulation


def test_request_in_progress_is_handed_on_soon_after_all_links_are_lost():
    simulation = fan_out_simulation()
    simulation.cut(DOMAINS)
    simulation.ask("/all/2", "q-cut")
    simulation.ask_for(DETECTION_S)
    assert simulation.is_isolated
    assert simulation.answers["q-cut"] is UNREACHABLE_ANSWER
    assert simulation.answered_at["q-cut"] - simulation.requested_at["q-cut"] < DETECTION_S


def test_loss_of_the_links_to_two_of_three_failure_domains_is_no_isolation():
    simulation = fan_out_simulation()
    simulation.cut(DOMAINS[:2])
    simulation.ask_for(3.0)
    assert not simulation.is_isolated


def test_daemon_with_few_requests_notices_the_loss_of_its_links():
    servers = {f"i-{n}": ("s-1", DOMAINS[n % len(DOMAINS)]) for n in range(2)}
    simulation = CuttableSimulation([single_route()], servers)
    simulation.run(2 * QUIET_S)
    simulation.cut(DOMAINS)
    simulation.ask(request_id="q-cut")
    simulation.run(DETECTION_S)
    assert simulation.is_isolated


def test_servers_that_pause_or_are_slow_isolate_nobody():
    answers = [(0.03, server_reply())] * 40 + [(0.23, server_reply())] * 4
    slow = {
        server_id: (service, domain, *answers[n:], *answers[:n])
        for n, (server_id, (service, domain)) in enumerate(shards(6).items())
    }
    simulation = CuttableSimulation([fan_out_route([f"s-{n}" for n in range(6)])], slow)
    simulation.ask_for(10.0)
    assert simulation.world.counters["link.isolated"] == 0


def test_failures_of_the_cut_do_not_count_against_servers_afterwards():
    simulation = fan_out_simulation()
    simulation.cut(DOMAINS)
    simulation.ask_for(DETECTION_S)
    simulation.cut(())
    simulation.run(DETECTION_S)
    assert not simulation.is_isolated
    for row in simulation.world.catalog:
        assert row.recent_failures(simulation.now) == 0.0
        assert row.backoff_until <= simulation.now


def rows(count):
    return [ServerRow(registration(f"i-{n}")) for n in range(count)]


def test_answers_that_become_overdue_together_raise_no_doubt_at_once():
    reachability = Reachability(0.0)
    for row in rows(2 * MIN_SILENT):
        reachability.record_overdue(row, SILENCE_S / 2)
    assert not reachability.is_doubtful(80, SILENCE_S / 2)
    assert reachability.is_doubtful(80, SILENCE_S)


def test_replies_on_open_connections_do_not_settle_the_doubt_about_new_ones():
    reachability = Reachability(0.0)
    for row in rows(MIN_UNOPENED):
        reachability.record_unopened(row, 1.0)
    reachability.record_reply(row, 1.0)
    assert reachability.is_doubtful(80, 1.0)
    reachability.record_opened(row, 1.0)
    assert not reachability.is_doubtful(80, 2.0)


def test_crash_of_every_server_of_a_query_is_no_isolation():
    servers = shards(6) | {f"o-{n}": ("s-other", DOMAINS[n]) for n in range(3)}
    simulation = CuttableSimulation([fan_out_route([f"s-{n}" for n in range(6)])], servers)
    simulation.ask_for(1.0)
    simulation.down = set(shards(6))
    simulation.ask_for(2.0)
    assert simulation.world.counters["link.check"] > 0
    assert simulation.world.counters["link.isolated"] == 0


def test_requests_in_progress_stay_where_they_are_while_open_connections_work():
    simulation = fan_out_simulation()
    simulation.ask("/all/2", "q-open")
    world = simulation.world
    check = CheckLinks(tuple(world.catalog), simulation.now, is_for_connections=True)
    world.reachability.heard_at = simulation.now
    simulation._perform(simulation.router.links_checked(check, check.rows, simulation.now))
    assert simulation.is_isolated
    assert "q-open" not in simulation.answers
    simulation.run(0.2)
    assert isinstance(simulation.answers["q-open"], MergedAnswer)
