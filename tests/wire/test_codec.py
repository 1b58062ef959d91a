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

numbers = st.integers(-(2**31), 2**31 - 1)
shards = st.lists(numbers, max_size=5).map(tuple)
reals = st.floats(allow_nan=False)
texts = st.text(max_size=20)


def few(strategy):
    return st.lists(strategy, max_size=4).map(tuple)


BY_ANNOTATION = {
    "int": numbers,
    "float": reals,
    "str": texts,
    "bool": st.booleans(),
    "tuple[int, ...]": shards,
    "tuple[float, ...]": few(reals),
    "tuple[str, ...]": few(texts),
    "ClaimAnswer": st.sampled_from(ClaimAnswer),
    "tuple[Hit, ...]": few(st.builds(Hit, texts, reals, texts)),
    "tuple[Holding, ...]": few(st.builds(Holding, numbers, numbers, shards)),
    "tuple[MissingShard, ...]": few(
        st.builds(MissingShard, numbers, st.sampled_from(list(Missing)))
    ),
}


def messages(kind):
    return st.builds(kind, *[BY_ANNOTATION[field.type] for field in fields(kind)])


MESSAGE_TYPES = get_args(PeerMessage)
envelopes = st.builds(Envelope, texts, st.one_of([messages(kind) for kind in MESSAGE_TYPES]))


def body_of(frame: bytes) -> bytes:
    assert LENGTH_PREFIX.unpack(frame[: LENGTH_PREFIX.size])[0] == len(frame) - LENGTH_PREFIX.size
    return frame[LENGTH_PREFIX.size :]


@pytest.mark.parametrize("kind", MESSAGE_TYPES)
@settings(derandomize=True, deadline=None, max_examples=40)
@given(data=st.data())
def test_every_message_survives_a_round_trip(kind, data):
    envelope = Envelope("m-1", data.draw(messages(kind)))
    assert decode(body_of(encode(envelope))) == envelope


@settings(derandomize=True, deadline=None)
@given(envelope=envelopes, cut=st.integers(0, 200), noise=st.binary(max_size=20))
def test_damaged_bytes_give_a_wire_error_or_an_envelope(envelope, cut, noise):
    body = body_of(encode(envelope))
    damaged = body[:cut] + noise + body[cut + len(noise) :]
    with contextlib.suppress(WireError):
        assert isinstance(decode(damaged), Envelope)


@pytest.mark.parametrize("kind", MESSAGE_TYPES)
def test_the_description_names_the_same_fields(kind):
    reserved = {"service": "service_name"}
    names = tuple(reserved.get(field.name, field.name) for field in fields(kind))
    assert getattr(ttypes, kind.__name__).__slots__ == names


@pytest.mark.parametrize("body", [b"", b"\x00", b"\xff" * 64, b"GET / HTTP/1.1\r\n\r\n"])
def test_foreign_bytes_are_refused(body):
    with pytest.raises(WireError):
        decode(body)


def test_what_only_newer_daemons_know_is_told_from_malformed_bytes():
    reply = ttypes.ClaimReply("r-1", 1, 99, 0.0)
    for message in (ttypes.Message(), ttypes.Message(claim_reply=reply)):
        buffer = TMemoryBuffer()
        ttypes.Envelope("m-1", message).write(TBinaryProtocolAccelerated(buffer))
        with pytest.raises(UnknownMessageError):
            decode(buffer.getvalue())


def test_a_value_out_of_range_is_refused():
    with pytest.raises(WireError):
        encode(Envelope("m-1", BlockCancel(2**70)))
    status = BlockStatus("b", 1, 0.0, (Holding(1, 2**40, ()),), (), ())
    with pytest.raises(WireError):
        encode(Envelope("m-1", status))
