from __future__ import annotations

import contextlib
from dataclasses import fields
from typing import get_args

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from marigoldwalk.core.peer_messages import (
    BlockCancel,
    BlockStatus,
    ClaimAnswer,
    Hit,
    Holding,
    MissingShard,
    PeerMessage,
)
from marigoldwalk.errors import Missing
from marigoldwalk.wire.codec import (
    LENGTH_PREFIX,
    Envelope,
    UnknownMessageError,
    WireError,
    decode,
    encode,
)
from marigoldwalk.wire.gen.marigoldwalk import ttypes

integers = st.integers(-(2**31), 2**31 - 1)
integer_tuples = st.lists(integers, max_size=5).map(tuple)
floats = st.floats(allow_nan=False)
strings = st.text(max_size=20)


def short_tuples(strategy):
    return st.lists(strategy, max_size=4).map(tuple)


BY_ANNOTATION = {
    "int": integers,
    "float": floats,
    "str": strings,
    "bool": st.booleans(),
    "tuple[int, ...]": integer_tuples,
    "tuple[float, ...]": short_tuples(floats),
    "tuple[str, ...]": short_tuples(strings),
    "ClaimAnswer": st.sampled_from(ClaimAnswer),
    "tuple[Hit, ...]": short_tuples(st.builds(Hit, strings, floats, strings)),
    "tuple[Holding, ...]": short_tuples(st.builds(Holding, integers, integers, integer_tuples)),
    "tuple[MissingShard, ...]": short_tuples(
        st.builds(MissingShard, integers, st.sampled_from(list(Missing)))
    ),
}


def messages(kind):
    return st.builds(kind, *[BY_ANNOTATION[field.type] for field in fields(kind)])


MESSAGE_TYPES = get_args(PeerMessage)
envelopes = st.builds(Envelope, strings, st.one_of([messages(kind) for kind in MESSAGE_TYPES]))


def body_of(frame: bytes) -> bytes:
    assert LENGTH_PREFIX.unpack(frame[: LENGTH_PREFIX.size])[0] == len(frame) - LENGTH_PREFIX.size
    return frame[LENGTH_PREFIX.size :]


@pytest.mark.parametrize("kind", MESSAGE_TYPES)
@settings(derandomize=True, deadline=None, max_examples=40)
@given(data=st.data())
def test_every_message_is_unchanged_by_a_round_trip(kind, data):
    envelope = Envelope("m-1", data.draw(messages(kind)))
    assert decode(body_of(encode(envelope))) == envelope


@settings(derandomize=True, deadline=None)
@given(envelope=envelopes, cut=st.integers(0, 200), noise=st.binary(max_size=20))
def test_corrupted_bytes_give_a_wire_error_or_an_envelope(envelope, cut, noise):
    body = body_of(encode(envelope))
    damaged = body[:cut] + noise + body[cut + len(noise) :]
    with contextlib.suppress(WireError):
        assert isinstance(decode(damaged), Envelope)


@pytest.mark.parametrize("kind", MESSAGE_TYPES)
def test_thrift_structs_and_dataclasses_have_the_same_fields(kind):
    reserved = {"service": "service_name"}
    names = tuple(reserved.get(field.name, field.name) for field in fields(kind))
    assert getattr(ttypes, kind.__name__).__slots__ == names


@pytest.mark.parametrize("body", [b"", b"\x00", b"\xff" * 64, b"GET / HTTP/1.1\r\n\r\n"])
def test_bytes_that_are_not_an_envelope_raise_a_wire_error(body):
    with pytest.raises(WireError):
        decode(body)


def test_unknown_messages_and_enumeration_values_raise_their_own_error():
    reply = ttypes.ClaimReply("r-1", 1, 99, 0.0)
    for message in (ttypes.Message(), ttypes.Message(claim_reply=reply)):
        buffer = TMemoryBuffer()
        ttypes.Envelope("m-1", message).write(TBinaryProtocolAccelerated(buffer))
        with pytest.raises(UnknownMessageError):
            decode(buffer.getvalue())


def test_values_out_of_range_raise_a_wire_error():
    with pytest.raises(WireError):
        encode(Envelope("m-1", BlockCancel(2**70)))
    status = BlockStatus("b", 1, 0.0, (Holding(1, 2**40, ()),), (), ())
    with pytest.raises(WireError):
        encode(Envelope("m-1", status))
