"""Load pattern: the store is down, and every daemon of a large fleet looks for a source."""

from __future__ import annotations

import pytest

from marigoldwalk.config.view import Address
from marigoldwalk.routing.membership import MemberReport, Membership
from marigoldwalk.routing.readers import FOLLOWER_CALLS_PER_S, STORE_FALLBACK_S, Readers

STEP_S = 0.5


def make_fleet(count, domains=3):
    reports = [
        MemberReport(f"m-{n}", Address("10.0.0.1", 7000 + n), 1, 5, f"d-{n % domains}")
        for n in range(count)
    ]
    fleet = []
    for own in reports:
        membership = Membership(own, (), 0.0)
        membership.merge([report for report in reports if report is not own], 0.0)
        fleet.append(Readers(membership))
    return fleet


def followers_of(fleet):
    return [readers for readers in fleet if readers.choose(0.0) is not None]


def count_store_calls(followers, until):
    """Return when each follower calls the store while neither it nor any reader answers."""
    calls = {readers: [] for readers in followers}
    now = 0.0
    for readers in followers:
        readers.record_answer(now)
    while now < until:
        now += STEP_S
        for readers in followers:
            source = readers.choose(now)
            if source is None:
                calls[readers].append(now)
                readers.record_store_failure(now)
            else:
                readers.record_failure(source, now)
    return calls


def test_followers_of_a_large_fleet_call_a_store_that_is_down_at_a_bounded_rate():
    followers = followers_of(make_fleet(195, domains=5))
    calls = count_store_calls(followers, 4.5)
    assert 0 < sum(map(len, calls.values())) <= 1.2 * FOLLOWER_CALLS_PER_S * 4.5


@pytest.mark.parametrize("count", [6, 9])
def test_each_follower_of_a_small_fleet_calls_the_store_soon(count):
    followers = followers_of(make_fleet(count))
    calls = count_store_calls(followers, 4.5)
    assert followers
    assert all(times[0] <= STORE_FALLBACK_S + 3 * STEP_S for times in calls.values())


def test_followers_go_on_asking_the_readers():
    follower, *_ = followers_of(make_fleet(195, domains=5))
    follower.record_answer(0.0)
    sources = set()
    for _ in range(12):
        source = follower.choose(1.0)
        sources.add(source)
        follower.record_failure(source, 1.0)
    assert None not in sources
    assert len(sources) >= 3
