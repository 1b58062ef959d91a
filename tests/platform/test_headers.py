from __future__ import annotations

import pytest

from marigoldwalk.gateway.header_codec import RawReply
from marigoldwalk.platform.headers import PlatformHeaderCodec
from marigoldwalk.routing.exchanges import MergedAnswer

DIALECT = PlatformHeaderCodec()
STAMP = ("X-Marigoldwalk-Response-Stamp", "s.1")


def read(*headers, status=200, body=b"body", request_id="q-1"):
    return DIALECT.read_reply(RawReply(status, headers, body), request_id)


def test_a_callers_request():
    facts = DIALECT.read_request(
        [("X-Marigoldwalk-Request-Id", "q-1"), ("X-Marigoldwalk-Deadline-Ms", "800")]
    )
    assert (facts.request_id, facts.deadline_s) == ("q-1", 0.8)
    assert DIALECT.read_request([]).deadline_s is None


@pytest.mark.parametrize("value", ["soon", "-1", ""])
def test_a_deadline_that_is_no_number_is_refused(value):
    with pytest.raises(ValueError, match=r".+"):
        DIALECT.read_request([("x-marigoldwalk-deadline-ms", value)])


def test_headers_of_one_connection_are_not_forwarded():
    headers = [
        ("Host", "desk.example"),
        ("Connection", "keep-alive, X-Hop"),
        ("X-Hop", "1"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "4"),
        ("X-Marigoldwalk-Request-Id", "q-1"),
        ("X-Marigoldwalk-Deadline-Ms", "800"),
        ("X-Marigoldwalk-Expect-Instance", "forged"),
        ("X-Other", "kept"),
    ]
    kept = [name for name, _ in DIALECT.forwarded(headers)]
    assert kept == ["Host", "X-Marigoldwalk-Request-Id", "X-Other"]


def test_each_attempt_names_its_server_and_the_time_that_is_left():
    assert dict(DIALECT.attempt_headers(0.25, "i-1")) == {
        "x-marigoldwalk-deadline-ms": "250",
        "x-marigoldwalk-expect-instance": "i-1",
    }


def test_a_sound_reply():
    reply = read(STAMP, ("x-marigoldwalk-request-id", "q-1"), ("Content-Length", "4"))
    assert reply.is_success
    assert reply.signature == "s.1"
    assert STAMP in reply.headers
    assert "Content-Length" not in dict(reply.headers)


def test_a_reply_to_another_request_is_none():
    assert read(STAMP, ("X-Marigoldwalk-Request-Id", "q-2")) is None


def test_a_reply_without_a_signature_is_no_success():
    assert not read().is_success


def test_an_encoded_body_is_not_the_servers():
    assert not read(STAMP, ("Content-Encoding", "gzip")).is_success


def test_replies_that_state_that_nothing_ran():
    assert not read(("X-Marigoldwalk-Not-Executed", "1"), status=503).executed
    other = read(status=421)
    assert not other.executed
    assert other.is_other_server
    assert read(status=503).executed


def test_a_merged_answer_names_its_parts():
    headers = DIALECT.merged_headers(MergedAnswer(("a", "b"), 1, b""))
    assert headers == [
        ("X-Marigoldwalk-Part-Stamps", "a, b"),
        ("X-Marigoldwalk-Missing-Parts", "1"),
    ]
