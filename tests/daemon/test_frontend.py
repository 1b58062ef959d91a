from __future__ import annotations

import json
from collections import Counter
from dataclasses import replace

import gevent
import pytest
from gevent import socket

from marigoldwalk.core.actions import AnswerCaller
from marigoldwalk.core.events import QueryCancelled, QueryReceived
from marigoldwalk.core.peer_messages import Hit, MissingShard
from marigoldwalk.daemon import frontend as frontend_module
from marigoldwalk.daemon import http_server
from marigoldwalk.daemon.frontend import Frontend
from marigoldwalk.daemon.http_server import make_server
from marigoldwalk.daemon.readiness import Readiness
from marigoldwalk.errors import Code, Execution, Missing
from marigoldwalk.util.gevent_pool import GeventConnectionPool

from .scripted import TEST_TIMEOUT_S

QUERY = {"group": "case-desk", "body": {"z": 1, "a": "muro"}}
ANSWER = AnswerCaller(
    query=1,
    code=Code.PARTIAL,
    reason="",
    execution=Execution.RAN,
    group="case-desk",
    index="precedents",
    snapshot=7,
    shard_count=2,
    answered=1,
    missing=(MissingShard(1, Missing.DEADLINE),),
    hits=(Hit("a-1", 3.0, '{"título":1}'),),
    retry_after_s=0.0,
    elapsed_s=0.0125,
    subrequests=2,
)


class Service:
    """A frontend on a real HTTP server; the test acts as the core."""

    def __init__(self, inbox):
        self.readiness = Readiness()
        self.readiness.ready = True
        self.counters = Counter()
        self.frontend = Frontend("m-1", inbox.post, self.readiness, self.counters, 1000)
        self.server = make_server(_listener(), self.frontend.app)
        self.server.start()
        self.pool = GeventConnectionPool("127.0.0.1", self.server.server_port, retries=False)

    def post(self, body, path="/query"):
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        with gevent.Timeout(TEST_TIMEOUT_S):
            response = self.pool.request("POST", path, body=raw)
        return response, json.loads(response.data)

    def connect(self):
        sock = socket.create_connection(("127.0.0.1", self.server.server_port))
        sock.settimeout(TEST_TIMEOUT_S)
        return sock


def _listener():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(16)
    return listener


@pytest.fixture
def service(inbox):
    service = Service(inbox)
    yield service
    service.server.stop(timeout=0)


def test_an_answer_is_sent_to_its_caller(service, inbox):
    call = gevent.spawn(service.post, QUERY)
    assert inbox.next() == QueryReceived(1, "case-desk", '{"a":"muro","z":1}')
    service.frontend.answer(replace(ANSWER, query=99))
    service.frontend.answer(ANSWER)
    response, body = call.get(timeout=TEST_TIMEOUT_S)
    assert response.status == 200
    assert "Retry-After" not in response.headers
    assert body == {
        "code": 1,
        "name": "PARTIAL",
        "reason": "",
        "execution": "ran",
        "group": "case-desk",
        "index": "precedents",
        "snapshot": 7,
        "coverage": {
            "shards": 2,
            "answered": 1,
            "ratio": 0.5,
            "missing": [{"shard": 1, "reason": "no reply before the deadline"}],
        },
        "hits": [{"key": "a-1", "score": 3.0, "body": {"título": 1}}],
        "retry_after_ms": 0,
        "elapsed_ms": 12.5,
        "subrequests": 2,
        "daemon": "m-1",
    }


def test_a_refusal_says_when_to_retry(service, inbox):
    call = gevent.spawn(service.post, QUERY)
    inbox.next()
    refused = replace(ANSWER, code=Code.OVERLOADED, execution=Execution.NOT_RUN)
    service.frontend.answer(replace(refused, retry_after_s=1.2))
    response, body = call.get(timeout=TEST_TIMEOUT_S)
    assert (response.status, response.headers["Retry-After"]) == (503, "2")
    assert body["retry_after_ms"] == 1200


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (b"", 400, Code.MALFORMED),
        (b"{", 400, Code.MALFORMED),
        (b"[]", 400, Code.MALFORMED),
        (b"\xff\xfe", 400, Code.MALFORMED),
        (b"[" * 900, 400, Code.MALFORMED),
        (b'{"group": "g", "body": {"a": "\\ud800"}}', 400, Code.MALFORMED),
        (b'{"group": "g", "body": {"a": NaN}}', 400, Code.INVALID_FIELD),
        ({"group": "g"}, 400, Code.INVALID_FIELD),
        ({"group": "g", "body": []}, 400, Code.INVALID_FIELD),
        ({**QUERY, "gruop": 1}, 400, Code.INVALID_FIELD),
        ({**QUERY, "limit": "5"}, 400, Code.INVALID_FIELD),
        ({**QUERY, "deadline_ms": -1}, 400, Code.INVALID_DEADLINE),
        ({**QUERY, "deadline_ms": "soon"}, 400, Code.INVALID_DEADLINE),
        ({**QUERY, "request_id": "x" * 500}, 400, Code.INVALID_REQUEST_ID),
        ({**QUERY, "key": "x" * 2000}, 413, Code.BODY_TOO_LARGE),
    ],
)
def test_invalid_input_is_refused_with_a_code_and_a_reason(service, inbox, body, status, code):
    response, answer = service.post(body)
    assert (response.status, answer["code"]) == (status, code)
    assert answer["execution"] == "not run"
    assert answer["reason"].endswith(".")
    assert service.counters[f"refusal.{code.name.lower()}"] == 1
    assert inbox.empty()


def test_an_unknown_path_gets_a_json_error(service):
    response, answer = service.post(QUERY, "/search")
    assert (response.status, answer["name"]) == (404, "NOT_FOUND")


def test_an_internal_error_reports_an_unknown_outcome(service, monkeypatch):
    monkeypatch.setattr(service.frontend, "_post", None)
    response, answer = service.post(QUERY)
    assert (response.status, answer["name"]) == (504, "INTERNAL")
    assert answer["execution"] == "outcome unknown"


def test_closing_the_connection_cancels_the_query(service, inbox):
    with service.connect() as sock:
        body = json.dumps(QUERY).encode()
        head = f"POST /query HTTP/1.1\r\nHost: m\r\nContent-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)
        assert inbox.next().query == 1
        assert service.server.open_requests == 1
    assert inbox.next() == QueryCancelled(1)


def test_a_query_without_an_answer_of_the_core_times_out(service, inbox, monkeypatch):
    monkeypatch.setattr(frontend_module, "ANSWER_TIMEOUT_S", 0.01)
    response, answer = service.post(QUERY)
    assert (response.status, answer["name"]) == (504, "INTERNAL")
    assert answer["execution"] == "outcome unknown"


def test_a_request_whose_body_does_not_arrive_is_refused(service, monkeypatch):
    monkeypatch.setattr(frontend_module, "BODY_TIMEOUT_S", 0.01)
    with service.connect() as sock:
        sock.sendall(b"POST /query HTTP/1.1\r\nHost: m\r\nContent-Length: 50\r\n\r\n{")
        with sock.makefile("rb") as stream:
            assert stream.readline().split()[1] == b"400"
            assert b"did not arrive" in stream.read()


def test_a_request_whose_headers_do_not_arrive_times_out(service, monkeypatch):
    monkeypatch.setattr(http_server, "HEADER_TIMEOUT_S", 0.01)
    with service.connect() as sock:
        sock.sendall(b"POST /query HTTP/1.1\r\nHost:")
        with sock.makefile("rb") as stream:
            assert stream.read().startswith(b"HTTP/1.1 408")


def test_a_closed_frontend_refuses_queries_that_the_core_has_not_read(service, inbox):
    calls = [gevent.spawn(service.post, QUERY) for _ in range(2)]
    seen, unprocessed = inbox.next(), inbox.next()
    service.frontend.close([unprocessed])
    names = {call.get(timeout=TEST_TIMEOUT_S)[1]["name"] for call in calls}
    assert names == {"INTERNAL", "STOPPING"}
    assert service.post(QUERY)[1]["execution"] == "not run"
    claimed = {**QUERY, "request_id": "r-1", "issued_at": 1.0}
    assert service.post(claimed)[1]["execution"] == "outcome unknown"
    assert service.post({**claimed, "first_sending": True})[1]["execution"] == "not run"
    assert inbox.next() == QueryCancelled(seen.query)
    assert inbox.empty()


def test_readiness_and_liveness_are_reported(service):
    assert service.pool.request("GET", "/ready").status == 200
    service.readiness.change(False, "stopping")
    response = service.pool.request("GET", "/ready")
    assert (response.status, response.json()["reason"]) == (503, "stopping")
    assert service.pool.request("GET", "/live").status == 200


def test_a_stopping_server_answers_connections_pending_at_its_listener(service):
    with service.connect() as sock:
        sock.sendall(b"GET /live HTTP/1.1\r\nHost: m\r\n\r\n")
        draining = gevent.spawn(service.server.drain, TEST_TIMEOUT_S)
        assert sock.recv(100).startswith(b"HTTP/1.1 200")
    draining.join(TEST_TIMEOUT_S)
    with pytest.raises(ConnectionRefusedError):
        service.connect()
