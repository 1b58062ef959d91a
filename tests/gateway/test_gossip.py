from __future__ import annotations

from collections import Counter

import gevent
from hypothesis import given
from hypothesis import strategies as st

from marigoldwalk.config.view import Address
from marigoldwalk.gateway.gossip import GossipLink, decode, encode
from marigoldwalk.routing.membership import MemberReport, Membership
from marigoldwalk.routing.suspects import Evidence, Suspects
from marigoldwalk.util.clock import Clock

from ..daemon.scripted import PATIENCE_S

REPORT = MemberReport("m-1", Address("10.0.0.1", 7000), 17, 4, "north", 0.5, True)
EVIDENCE = Evidence("f", ("i-1", "i-2"))


def test_what_is_told_arrives_whole():
    told = decode(encode([REPORT], [EVIDENCE]))
    assert told.reports == (REPORT,)
    assert told.evidence == (EVIDENCE,)


@given(st.binary(max_size=80))
def test_bytes_that_are_no_datagram_are_passed_over(data):
    told = decode(data)
    assert told is None or isinstance(told.reports, tuple)


@given(st.integers(0, 90), st.integers(0, 255))
def test_a_damaged_datagram_does_no_harm(index, value):
    data = bytearray(encode([REPORT], [EVIDENCE]))
    data[index % len(data)] = value
    decode(bytes(data))


def test_two_daemons_find_each_other_over_sockets():
    clock = Clock()
    links = []
    seeds = []
    for name in ("m-1", "m-2"):
        # The first daemon learns its port when it has bound it, and is the seed of the second.
        own = MemberReport(name, Address("127.0.0.1", 0), 1, 0, "north")
        membership = Membership(own, seeds, clock.now())
        link = GossipLink(membership, Suspects(), own.address, clock.now, Counter(), lambda: None)
        address = Address(*link.address)
        membership.own = MemberReport(name, address, 1, 0, "north")
        seeds = [address]
        links.append((membership, link))
    for _, link in links:
        link.start()
    with gevent.Timeout(PATIENCE_S):
        while not all(membership.rows() for membership, _ in links):
            gevent.sleep(0.01)
    for _, link in links:
        link.stop()
    assert [membership.possible_member_count() for membership, _ in links] == [2, 2]
