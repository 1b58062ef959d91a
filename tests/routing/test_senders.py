from __future__ import annotations

import pytest

from marigoldwalk.routing.senders import MAIN_SHARE, Senders

NAMES = tuple(f"m-{number}" for number in range(20))


def shares(max_main, server_id="i-1", delegates=(), is_shard=False):
    fleet = [Senders(name, NAMES, delegates) for name in NAMES]
    return [senders.share(server_id, max_main, is_shard) for senders in fleet]


@pytest.mark.parametrize("max_main", [0, 1, 7, 20, 50])
def test_shares_of_all_daemons_add_up_to_the_limit(max_main):
    assert sum(shares(max_main)) == pytest.approx(1.0)


def test_few_daemons_share_most_of_a_small_limit():
    most = sorted(shares(5), reverse=True)[:5]
    assert sum(most) == pytest.approx(MAIN_SHARE)
    assert min(most) == max(most)


def test_different_servers_have_different_main_senders():
    main = {
        server: frozenset(n for n, s in zip(NAMES, shares(5, server), strict=True) if s > 0.1)
        for server in ("i-1", "i-2", "i-3", "i-4")
    }
    assert len(set(main.values())) == 4


def test_delegates_are_the_main_senders_to_shards():
    delegates = NAMES[:3]
    to_shard = shares(7, delegates=delegates, is_shard=True)
    assert to_shard[:3] == [MAIN_SHARE / 3] * 3
    assert sum(to_shard) == pytest.approx(1.0)
    assert shares(20, delegates=delegates) == [1 / 20] * 20
