from __future__ import annotations

import pytest

from marigoldwalk.gateway.header_codec import RawReply
from marigoldwalk.platform.headers import PlatformHeaderCodec
from marigoldwalk.platform.keys import digest_of
from marigoldwalk.routing.exchanges import MergedAnswer

CODEC = PlatformHeaderCodec()
STAMP = ("X-Marigoldwalk-Response-Stamp", "s.1")


def read(*headers, status=200, body=b"body", request_id="q-1"):
    return CODEC.read_reply(RawReply(status, headers, body), request_id)


def test_request_id_and_deadline_are_read():
    metadata = CODEC.read_request(
        [("X-Marigoldwalk-Request-Id", "q-1"), ("X-Marigoldwalk-Deadline-Ms", "800")]
    )
    assert (metadata.request_id, metadata.deadline_s) == ("q-1", 0.8)
    assert CODEC.read_request([]).deadline_s is None


@pytest.mark.parametrize("value", ["soon", "-1", ""])
def test_invalid_deadline_is_rejected(value):
    with pytest.raises(ValueError, match=r".+"):
        CODEC.read_request([("x-marigoldwalk-deadline-ms", value)])


def test_deadline_that_no_float_represents_is_bounded():
    """Such a request got a 500 of the HTTP server."""
    metadata = CODEC.read_request([("x-marigoldwalk-deadline-ms", "9" * 400)])
    assert metadata.deadline_s == 86_400.0


def test_hop_by_hop_and_gateway_headers_are_not_forwarded():
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
    kept = [name for name, _ in CODEC.forwarded_headers(headers, has_workspaces=False)]
    assert kept == ["Host", "X-Marigoldwalk-Request-Id", "X-Other"]


def test_attempt_headers_have_the_server_and_the_remaining_time():
    assert dict(CODEC.attempt_headers(0.25, "i-1")) == {
        "x-marigoldwalk-deadline-ms": "250",
        "x-marigoldwalk-expect-instance": "i-1",
    }


def test_signed_reply_is_a_success():
    reply = read(STAMP, ("x-marigoldwalk-request-id", "q-1"), ("Content-Length", "4"))
    assert reply.is_success
    assert reply.signature == "s.1"
    assert STAMP in reply.headers
    assert "Content-Length" not in dict(reply.headers)


def test_reply_to_another_request_is_ignored():
    assert read(STAMP, ("X-Marigoldwalk-Request-Id", "q-2")) is None


def test_reply_without_signature_is_not_a_success():
    assert not read().is_success


def test_reply_with_content_encoding_is_not_a_success():
    assert not read(STAMP, ("Content-Encoding", "gzip")).is_success


def test_replies_that_state_that_the_request_did_not_run():
    assert not read(("X-Marigoldwalk-Not-Executed", "1"), status=503).executed
    other = read(status=421)
    assert not other.executed
    assert other.is_misdirected
    assert read(status=503).executed


def test_merged_answer_lists_its_signatures_and_missing_parts():
    headers = CODEC.merged_headers(MergedAnswer(("a", "b"), 1, b""))
    assert headers == [
        ("X-Marigoldwalk-Part-Stamps", "a, b"),
        ("X-Marigoldwalk-Missing-Parts", "1"),
    ]


@pytest.mark.parametrize("status", [200, 500, 503])
def test_leaving_is_read_from_every_answer_and_not_passed_on(status):
    reply = read(STAMP, ("Server-Leaving", "1"), status=status)
    assert reply.is_leaving
    assert [name for name, _ in reply.headers] == ["X-Marigoldwalk-Response-Stamp"]
    assert not read(STAMP, ("Server-Leaving", "0")).is_leaving
    assert not read(STAMP).is_leaving


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("2", 2.0),
        ("0.25", 0.25),
        (" 3 ", 3.0),
        ("0", 0.0),
        ("-5", 0.0),
        ("soon", 0.0),
        ("", 0.0),
        ("nan", 0.0),
        ("inf", 86_400.0),
        ("1e12", 86_400.0),
        ("Fri, 04 Dec 2026 08:00:00 GMT", 0.0),
    ],
)
def test_pause_is_read_from_a_503(value, expected):
    assert read(("Retry-After", value), status=503).pause_s == expected


@pytest.mark.parametrize("status", [200, 500, 503])
@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("15.7", 15.7),
        (" 2 ", 2.0),
        ("0", 0.0),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("many", None),
        ("", None),
    ],
)
def test_rate_limit_is_read_from_every_answer_and_not_passed_on(value, expected, status):
    reply = read(STAMP, ("Server-Limit", value), status=status)
    assert reply.rate_limit == expected
    assert [name for name, _ in reply.headers] == ["X-Marigoldwalk-Response-Stamp"]


def test_retry_after_with_another_status_is_no_pause_and_passed_on():
    reply = read(STAMP, ("Retry-After", "2"), status=500)
    assert reply.pause_s == 0.0
    assert ("Retry-After", "2") in reply.headers


KEYED = [
    ("x-api-KEY", " k-1 "),
    ("X-Marigoldwalk-Tenant-Id", "forged"),
    ("x-marigoldwalk-tenant-id", "forged"),
    ("X-Other", "kept"),
]


def test_keys_are_read_as_digests():
    metadata = CODEC.read_request([*KEYED, ("X-Api-Key", "k-2")])
    assert metadata.key_digests == (digest_of(b"k-1"), digest_of(b"k-2"))
    assert CODEC.read_request([("X-Other", "k-1")]).key_digests == ()
    assert "k-1" not in repr(metadata)


def test_keys_and_tenants_of_callers_are_not_forwarded():
    assert CODEC.forwarded_headers(KEYED, has_workspaces=True) == [("X-Other", "kept")]


def test_keys_are_ordinary_headers_without_workspaces():
    assert CODEC.forwarded_headers(KEYED, has_workspaces=False) == KEYED


def test_servers_receive_the_name_of_the_workspace():
    assert CODEC.workspace_headers("t-1") == [("x-marigoldwalk-tenant-id", "t-1")]
