"""Load pattern: a large fleet of daemons of different sizes, each of which sees few queries."""

from __future__ import annotations

from dataclasses import replace

import pytest

from marigoldwalk.config.view import Address
from marigoldwalk.routing.delegation import DELEGATE_BACKOFF_S, STARTING_S, Delegation
from marigoldwalk.routing.membership import MemberReport, Membership
from marigoldwalk.routing.readers import MIN_READERS, READER_BACKOFF_S, Readers

NOW = 100.0


def report(number, cores, domain, leaving=False):
    address = Address(f"10.0.0.{number}", 7000)
    return MemberReport(f"m-{number}", address, 1, 1, domain, cores, leaving)


def fleet(count, strong=(), domains=("north", "south")):
    """Return the reports of *count* daemons; those in *strong* have four times the cores."""
    return [report(n, 2.0 if n in strong else 0.5, domains[n % len(domains)]) for n in range(count)]


def membership_of(own, reports):
    membership = Membership(own, (), NOW)
    membership.merge(reports, NOW)
    return membership


def delegation_of(own, reports, max_connections=60):
    delegation = Delegation(membership_of(own, reports))
    delegation.update(max_connections, NOW)
    return delegation


def test_in_a_small_fleet_every_daemon_executes_its_own_queries():
    reports = fleet(9)
    delegation = delegation_of(reports[0], reports, max_connections=26)
    assert delegation.choose(NOW) is None
    assert delegation.shard_share == pytest.approx(1 / 9)


def test_in_a_large_fleet_the_strong_daemons_of_a_domain_are_delegates():
    reports = fleet(75, strong=(0, 2, 1, 3))
    weak = delegation_of(reports[10], reports)
    assert set(weak.delegates) == {"m-0", "m-2"}
    assert weak.choose(NOW).name in weak.delegates
    strong = delegation_of(reports[0], reports)
    assert strong.choose(NOW) is None
    assert strong.shard_share > 10 * weak.shard_share


def test_the_shares_of_all_daemons_add_up_to_at_most_one():
    reports = fleet(75, strong=(0, 2, 1, 3))
    assert sum(delegation_of(own, reports).shard_share for own in reports) <= 1.0


def test_the_least_loaded_delegate_is_chosen():
    reports = fleet(75, strong=(0, 2))
    delegation = delegation_of(reports[10], reports)
    chosen = []
    for _ in range(10):
        delegate = delegation.choose(NOW)
        delegation.record_start(delegate)
        chosen.append(delegate.name)
    assert sorted(chosen).count("m-0") == 5


def fail(delegation, now=NOW):
    """Let the chosen delegate fail and return its name."""
    delegate = delegation.choose(now)
    delegation.record_start(delegate)
    delegation.record_end(delegate, failed=True, now=now)
    return delegate.name


def test_a_failed_delegate_is_avoided_until_its_next_heartbeat():
    reports = fleet(75, strong=(0, 2), domains=("north",))
    delegation = delegation_of(reports[10], reports)
    failed = [fail(delegation), fail(delegation)]
    assert sorted(failed) == ["m-0", "m-2"]
    assert delegation.choose(NOW) is None
    later = NOW + DELEGATE_BACKOFF_S
    assert delegation.choose(later) is None
    newer_report = replace(reports[0], heartbeat=2)
    delegation.membership.merge([newer_report], NOW + 0.5)
    assert delegation.choose(NOW + 0.6) is None
    assert delegation.choose(later).name == "m-0"


def test_delegates_of_other_domains_replace_failed_ones_of_the_own_domain():
    reports = fleet(75, strong=(0, 1))
    delegation = delegation_of(reports[10], reports)
    assert fail(delegation) == "m-0"
    assert delegation.choose(NOW).name == "m-1"


def test_a_stopping_daemon_is_no_delegate():
    reports = fleet(75, strong=(0, 2))
    reports[0] = report(0, 2.0, "north", leaving=True)
    assert set(delegation_of(reports[10], reports).delegates) == {"m-2"}


def test_without_strong_daemons_others_are_delegates():
    reports = fleet(75)
    delegation = delegation_of(reports[10], reports)
    assert 1 <= len(delegation.delegates) <= 6


def test_a_few_daemons_read_the_store_and_the_others_read_from_them():
    reports = fleet(30, domains=("north", "south", "west"))
    sources = [Readers(membership_of(own, reports)).choose(NOW) for own in reports]
    assert sources.count(None) == MIN_READERS
    sources_used = {address for address in sources if address is not None}
    assert len(sources_used) == MIN_READERS


def test_a_daemon_reads_from_the_reader_in_its_own_domain():
    reports = fleet(30, domains=("north", "south", "west"))
    by_address = {report.address: report for report in reports}
    for own in reports:
        source = Readers(membership_of(own, reports)).choose(NOW)
        assert source is None or by_address[source].domain == own.domain


def test_failed_readers_are_avoided_and_finally_the_store_is_read():
    reports = fleet(30)
    selections = [Readers(membership_of(own, reports)) for own in reports]
    readers = next(r for r in selections if r.choose(NOW) is not None)
    seen = []
    while (source := readers.choose(NOW)) is not None:
        seen.append(source)
        readers.record_failure(source, NOW)
    assert len(set(seen)) == MIN_READERS
    assert readers.choose(NOW + READER_BACKOFF_S) == seen[0]


def test_a_reader_that_cannot_read_the_store_reads_from_the_others():
    reports = fleet(6, domains=("north", "south", "west"))
    by_daemon = {own.name: Readers(membership_of(own, reports)) for own in reports}
    readers = next(r for r in by_daemon.values() if r.choose(NOW) is None)
    readers.record_store_failure(NOW)
    seen = set()
    while (source := readers.choose(NOW)) is not None:
        seen.add(source)
        readers.record_failure(source, NOW)
    assert len(seen) == MIN_READERS
    assert readers.choose(NOW + READER_BACKOFF_S) is None


def test_strong_daemons_are_the_readers():
    reports = fleet(30, strong=(3, 4, 5), domains=("north", "south", "west"))
    for own in reports:
        source = Readers(membership_of(own, reports)).choose(NOW)
        assert (source is None) == (own.name in ("m-3", "m-4", "m-5"))


def isolated(reports, *numbers):
    return [
        replace(known, is_isolated=True) if n in numbers else known
        for n, known in enumerate(reports)
    ]


def test_a_daemon_that_reaches_no_server_is_no_delegate():
    reports = isolated(fleet(75, strong=(0, 2)), 0)
    assert set(delegation_of(reports[10], reports).delegates) == {"m-2"}


def test_a_delegate_that_reaches_no_server_hands_its_queries_to_another_one():
    reports = isolated(fleet(75, strong=(0, 2)), 0)
    delegation = delegation_of(reports[0], reports)
    assert not delegation.is_delegate
    assert delegation.choose_connected(True, NOW).name == "m-2"


def test_requests_are_handed_to_the_least_loaded_daemon_that_reaches_servers():
    reports = isolated(fleet(6), 0, 2)
    delegation = delegation_of(reports[0], reports, max_connections=26)
    chosen = []
    for _ in range(4):
        other = delegation.choose_connected(False, NOW)
        delegation.record_start(other)
        chosen.append(other.name)
    assert chosen[0] == "m-4"
    assert sorted(chosen) == ["m-1", "m-3", "m-4", "m-5"]


def test_no_daemon_is_chosen_if_all_reach_no_server_or_are_leaving():
    reports = isolated(fleet(3), 0, 1)
    reports[2] = replace(reports[2], is_leaving=True)
    delegation = delegation_of(reports[0], reports, max_connections=26)
    assert delegation.choose_connected(False, NOW) is None


def starting_delegation_of(own, reports):
    delegation = Delegation(membership_of(own, reports), started_at=NOW)
    delegation.update(60, NOW)
    return delegation


def test_weak_daemon_that_starts_hands_queries_to_strong_ones_in_a_small_fleet():
    reports = fleet(9, strong=(0, 1))
    weak = starting_delegation_of(reports[4], reports)
    assert weak.choose(NOW).name == "m-0"
    assert weak.choose(NOW + STARTING_S) is None
    assert weak.shard_share == pytest.approx(1 / 9)


def test_strong_daemon_that_starts_executes_its_own_queries():
    reports = fleet(9, strong=(0, 1))
    assert starting_delegation_of(reports[0], reports).choose(NOW) is None


def test_daemon_that_starts_alone_executes_its_own_queries():
    own = fleet(1)[0]
    assert starting_delegation_of(own, [own]).choose(NOW) is None


def test_weak_daemon_that_starts_avoids_strong_ones_that_fail_or_reach_no_server():
    reports = fleet(9, strong=(0, 1, 2))
    reports[0] = replace(reports[0], is_isolated=True)
    weak = starting_delegation_of(reports[4], reports)
    weak.record_start(reports[2])
    weak.record_end(reports[2], True, NOW)
    assert weak.choose(NOW).name == "m-1"


def test_weak_daemon_that_starts_stays_in_its_failure_domain_while_a_strong_one_is_there():
    reports = fleet(9, strong=(0, 1))
    weak = starting_delegation_of(reports[4], reports)
    for _ in range(3):
        chosen = weak.choose(NOW)
        assert chosen.name == "m-0"
        weak.record_start(chosen)
