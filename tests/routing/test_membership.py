from __future__ import annotations

import random
from dataclasses import replace

import pytest

from marigoldwalk.config.view import Address
from marigoldwalk.routing.membership import MemberReport, Membership, MemberState


class Fleet:
    """Daemons that gossip once a second in virtual time."""

    def __init__(self, count, seeds=(0, 1, 2), loss=0.05, seed=1, domains=1):
        self.domains = domains
        self.sent = 0
        self.sent_remote = 0
        self.now = 1000.0
        self.random = random.Random(seed)
        self.loss = loss
        self.count = count
        self.seeds = [self.address(n) for n in seeds]
        self.daemons = {}
        self.silent = set()
        self.partitioned = set()
        self.incarnation = 0
        for number in range(count):
            self.start(number)

    @staticmethod
    def address(number):
        return Address(f"10.0.0.{number + 1}", 7000)

    def start(self, number):
        self.incarnation += 1
        domain = f"d-{number % self.domains}"
        own = MemberReport(f"m-{number}", self.address(number), self.incarnation, 0, domain)
        self.daemons[number] = Membership(own, self.seeds, self.now)

    def run(self, seconds):
        for _ in range(seconds):
            self.now += 1.0
            for number, daemon in self.daemons.items():
                if number not in self.silent:
                    self._round(number, daemon)

    def _round(self, number, daemon):
        targets = daemon.next_round(self.now)
        for target in targets:
            is_remote = daemon.is_remote(target)
            reports = daemon.reports(self.now, is_remote)
            self.sent += 1
            self.sent_remote += is_remote
            other = int(target.host.rpartition(".")[2]) - 1
            is_partitioned = (number in self.partitioned) != (other in self.partitioned)
            lost = self.random.random() < self.loss
            if (
                other in self.daemons
                and other not in self.silent
                and not is_partitioned
                and not lost
            ):
                receiver = self.daemons[other]
                if receiver.merge(reports, self.now):
                    daemon.merge(receiver.reports(self.now), self.now)

    def counts(self):
        return [daemon.possible_member_count() for daemon in self.daemons.values()]


@pytest.mark.parametrize(("count", "rounds"), [(2, 5), (6, 12), (9, 12), (75, 30)])
def test_all_daemons_find_each_other(count, rounds):
    fleet = Fleet(count)
    fleet.run(rounds)
    assert fleet.counts() == [count] * count


def test_a_daemon_without_contact_assumes_other_members():
    fleet = Fleet(1, seeds=(4, 5))
    fleet.run(3)
    assert fleet.counts()[0] > 1


def test_a_single_live_seed_is_enough():
    fleet = Fleet(9, seeds=(2, 20, 21))
    fleet.run(12)
    assert fleet.counts() == [9] * 9


def test_a_killed_daemon_is_suspected_then_dead_then_forgotten():
    fleet = Fleet(6)
    fleet.run(10)
    fleet.silent.add(5)
    observer = fleet.daemons[0]
    seen = []
    for _ in range(40):
        fleet.run(1)
        row = next((r for r in observer.rows() if r.report.name == "m-5"), None)
        seen.append(row.state(fleet.now) if row else None)
    states = list(dict.fromkeys(seen))
    assert states == [MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, None]
    assert observer.possible_member_count() == 5


def test_a_restarted_daemon_is_counted_once():
    fleet = Fleet(6)
    fleet.run(10)
    fleet.start(3)
    fleet.run(6)
    assert fleet.counts() == [6] * 6
    row = next(r for r in fleet.daemons[0].rows() if r.report.name == "m-3")
    assert row.report.incarnation == fleet.incarnation
    assert row.state(fleet.now) is MemberState.ALIVE


def test_both_sides_of_a_short_partition_still_count_the_other_side():
    fleet = Fleet(9)
    fleet.run(12)
    fleet.partitioned = {0, 1, 2}
    fleet.run(15)
    assert fleet.counts() == [9] * 9
    fleet.partitioned = set()
    fleet.run(12)
    assert all(len(daemon.alive(fleet.now)) == 8 for daemon in fleet.daemons.values())


def test_a_daemon_that_was_frozen_does_not_forget_the_others():
    fleet = Fleet(6)
    fleet.run(10)
    fleet.silent.add(2)
    fleet.run(60)
    fleet.silent.clear()
    frozen = fleet.daemons[2]
    frozen.next_round(fleet.now)
    assert frozen.possible_member_count() == 6
    assert len(frozen.alive(fleet.now)) >= 3


def test_daemons_that_all_restart_at_once_find_each_other_again():
    fleet = Fleet(6)
    fleet.run(10)
    for number in range(6):
        fleet.start(number)
    fleet.run(10)
    assert fleet.counts() == [6] * 6


def test_a_member_that_joins_during_a_partition_becomes_known_to_all():
    fleet = Fleet(6)
    fleet.run(10)
    fleet.partitioned = {3, 4, 5}
    fleet.count = 7
    fleet.start(6)
    fleet.run(8)
    assert fleet.daemons[3].possible_member_count() == 6
    fleet.partitioned = set()
    fleet.run(14)
    assert fleet.counts() == [7] * 7


def test_a_daemon_whose_clock_went_back_raises_its_incarnation():
    fleet = Fleet(6)
    fleet.incarnation = 5000
    fleet.start(3)
    fleet.run(10)
    fleet.incarnation = 1000
    fleet.start(3)
    fleet.run(6)
    row = next(r for r in fleet.daemons[0].rows() if r.report.name == "m-3")
    assert row.report.incarnation > 5000
    assert row.state(fleet.now) is MemberState.ALIVE


@pytest.mark.parametrize(("count", "domains"), [(75, 3), (66, 4), (9, 3)])
def test_traffic_between_domains_and_false_suspicions_are_limited(count, domains):
    fleet = Fleet(count, domains=domains)
    fleet.run(40)
    assert fleet.counts() == [count] * count
    fleet.sent_remote = 0
    suspected = 0
    for _ in range(30):
        fleet.run(1)
        suspected += sum(
            row.state(fleet.now) is not MemberState.ALIVE
            for daemon in fleet.daemons.values()
            for row in daemon.rows()
        )
    # Each domain gossips to other domains about twice a second, and as often to a seed or to a
    # member that is not alive.
    assert fleet.sent_remote / 30 <= domains * 4 * 1.25
    assert suspected <= 0.01 * 30 * count * count


def test_in_a_large_fleet_that_starts_together_daemons_know_half_the_members_in_twelve_rounds():
    fleet = Fleet(300, domains=3)
    fleet.run(12)
    assert min(fleet.counts()) >= 150


def test_a_newcomer_that_knows_few_members_is_answered_once():
    reports = [MemberReport(f"m-{n}", Fleet.address(n), 1, 1) for n in range(12)]
    membership = Membership(reports[0], (), 100.0)
    assert membership.merge([reports[1]], 100.0)
    assert not membership.merge([reports[1]], 100.0)
    again = replace(reports[1], incarnation=2)
    assert membership.merge([again], 100.0)
    assert not membership.merge(reports[2:], 100.0)
    assert not membership.merge([reports[0]], 100.0)


def test_loss_and_return_of_the_links_to_servers_are_urgent_news_that_are_passed_on():
    now = 100.0
    first, second = (
        Membership(MemberReport(f"m-{n}", Address("10.0.0.1", n), 1, 1), (), now) for n in (1, 2)
    )
    second.merge([first.own], now)
    assert first.take_news() == second.take_news() == []
    for is_isolated in (True, False):
        first.set_isolated(is_isolated)
        news = first.take_news()
        assert news == [first.own]
        second.merge(news, now)
        assert second.rows()[0].report.is_isolated == is_isolated
        assert second.take_news() == [second.own, first.own]
        second.merge(news, now)
        assert second.take_news() == []
