from __future__ import annotations

from collections import Counter
from dataclasses import replace

import gevent
import pytest
from gevent import socket
from hypothesis import given
from hypothesis import strategies as st
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from marigoldwalk.config.view import Address
from marigoldwalk.gateway import gossip as gossip_module
from marigoldwalk.gateway.gossip import GossipTransport, decode, encode
from marigoldwalk.routing.membership import MemberReport, Membership
from marigoldwalk.routing.suspects import Crash, Evidence, Suspects
from marigoldwalk.util.clock import Clock
from marigoldwalk.wire.gen.gossip import ttypes

from ..daemon.scripted import TEST_TIMEOUT_S

REPORT = MemberReport("m-1", Address("10.0.0.1", 7000), 17, 4, "north", 0.5, True, True)
CRASHES = (
    Crash("i-1", "s-1", "q-1", False, 1.5),
    Crash("i-2", "s-2", "q-1/7", True, 0.25),
)
EVIDENCE = Evidence("f", CRASHES, is_harmless=True)


def test_decoded_datagram_has_the_encoded_reports_and_evidence():
    message = decode(encode([REPORT], [EVIDENCE]))
    assert message.reports == (REPORT,)
    assert message.evidence == (EVIDENCE,)


def test_member_of_an_earlier_release_counts_as_connected():
    buffer = TMemoryBuffer()
    member = ttypes.Member("m-1", "10.0.0.1", 7000, 17, 4, "north", 0.5, True, None)
    ttypes.Gossip([member], []).write(TBinaryProtocolAccelerated(buffer))
    (decoded,) = decode(buffer.getvalue()).reports
    assert not decoded.is_isolated


def test_evidence_of_an_earlier_release_counts_each_server():
    buffer = TMemoryBuffer()
    record = ttypes.Evidence("f", ["i-1", "i-2"])
    ttypes.Gossip([], [record]).write(TBinaryProtocolAccelerated(buffer))
    (evidence,) = decode(buffer.getvalue()).evidence
    assert [crash.server for crash in evidence.crashes] == ["i-1", "i-2"]
    assert len({crash.occasion for crash in evidence.crashes}) == 2


@given(st.binary(max_size=80))
def test_decoding_random_bytes_raises_nothing(data):
    message = decode(data)
    assert message is None or isinstance(message.reports, tuple)


@given(st.integers(0, 90), st.integers(0, 255))
def test_decoding_a_corrupted_datagram_raises_nothing(index, value):
    data = bytearray(encode([REPORT], [EVIDENCE]))
    data[index % len(data)] = value
    decode(bytes(data))


OUT_OF_RANGE = [
    replace(REPORT, address=Address("10.0.0.1", 70_000)),
    replace(REPORT, address=Address("10.0.0.1", -1)),
    replace(REPORT, address=Address("host.example", 7000)),
    replace(REPORT, incarnation=2**63 - 1),
    replace(REPORT, heartbeat=-1),
    replace(REPORT, cores=float("nan")),
    replace(REPORT, cores=float("inf")),
]


@pytest.mark.parametrize("report", OUT_OF_RANGE)
def test_report_with_a_value_out_of_range_is_invalid(report):
    assert decode(encode([report, REPORT], [])) is None
    assert decode(encode([REPORT, report, REPORT], [])).reports == (REPORT, REPORT)


@pytest.mark.parametrize("report", OUT_OF_RANGE)
def test_daemon_goes_on_with_gossip_after_a_report_out_of_range(report, monkeypatch):
    """A port out of range ended the greenlet that receives, and the daemon lost all others."""
    monkeypatch.setattr(gossip_module, "FAST_ROUND_INTERVAL_S", 0.005)
    own = MemberReport("m-0", Address("127.0.0.1", 0), 1, 0, "north")
    membership = Membership(own, [], 0.0)
    transport = GossipTransport(
        membership, Suspects(), own.address, Clock().now, Counter(), lambda: None
    )
    sender = socket.socket(type=socket.SOCK_DGRAM)
    target = ("127.0.0.1", transport.address[1])
    transport.start()
    try:
        sender.sendto(encode([replace(report, name="m-0")], []), target)
        sender.sendto(encode([report], []), target)
        gevent.sleep(0.05)
        sender.sendto(encode([replace(REPORT, name="m-2")], []), target)
        with gevent.Timeout(TEST_TIMEOUT_S):
            while membership.last_heartbeat_at("m-2") < 0:
                gevent.sleep(0.005)
        heartbeat = membership.own.heartbeat
        with gevent.Timeout(TEST_TIMEOUT_S):
            while membership.own.heartbeat == heartbeat:
                gevent.sleep(0.005)
    finally:
        transport.stop()
        sender.close()


def test_two_daemons_discover_each_other_over_udp():
    clock = Clock()
    daemons = []
    seeds = []
    for name in ("m-1", "m-2"):
        # The port is known once the socket is bound; the first daemon is the seed of the second.
        own = MemberReport(name, Address("127.0.0.1", 0), 1, 0, "north")
        membership = Membership(own, seeds, clock.now())
        transport = GossipTransport(
            membership, Suspects(), own.address, clock.now, Counter(), lambda: None
        )
        address = Address(*transport.address)
        membership.own = MemberReport(name, address, 1, 0, "north")
        seeds = [address]
        daemons.append((membership, transport))
    for _, transport in daemons:
        transport.start()
    with gevent.Timeout(TEST_TIMEOUT_S):
        while not all(membership.rows() for membership, _ in daemons):
            gevent.sleep(0.01)
    for _, transport in daemons:
        transport.stop()
    assert [membership.possible_member_count() for membership, _ in daemons] == [2, 2]
