from __future__ import annotations

import time
from dataclasses import replace

import gevent
import pytest

from marigoldwalk.gateway import delegate_client
from marigoldwalk.routing.delegation import Delegation
from marigoldwalk.routing.membership import MemberReport
from marigoldwalk.routing.model import FanOut
from standins.gateway_backends import StandinServer, config_record, route_record

from ..daemon.scripted import TEST_TIMEOUT_S, scripted
from .daemons import Daemon, ask, deployment, read_response, request, wait_until

FAN_OUT = {"service": None, "fanout-services": ["s-1"], "top-k": 4, "min-coverage": 0.5}


def delegate_report(daemon):
    address = daemon.gateway.peer_address
    return MemberReport("m-delegate", address, 1, 1, "north", 1.0)


def slow_answer(server_id, pause_s):
    def answer(environ, start_response):
        gevent.sleep(pause_s)
        start_response(
            "200 OK",
            [
                ("X-Marigoldwalk-Response-Stamp", f"stamp-{server_id}"),
                ("Content-Length", "4"),
            ],
        )
        return [b"done"]

    return answer


def test_server_reply_is_returned_unchanged():
    with deployment() as (daemon, _):
        status, headers, body = ask(daemon, request())[0]
    assert (status, body) == (200, b"the whole body")
    assert headers["x-marigoldwalk-response-stamp"] == "stamp-i-1"
    assert headers["x-marigoldwalk-request-id"] == "q-1"


def test_request_body_reaches_the_server_complete():
    servers = {"s-1": [StandinServer("i-1", b"ok")]}
    with deployment(servers=servers) as (daemon, _):
        chunked = request("/one/2", "POST", headers=["Transfer-Encoding: chunked"])
        chunked += b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
        ask(daemon, request("/one/1", "POST", body=b"a body"), chunked)
    assert servers["s-1"][0].requests == [
        ("POST", "/one/1", b"a body"),
        ("POST", "/one/2", b"abcdefg"),
    ]


def test_fan_out_query_returns_merged_shard_replies():
    servers = {
        f"s-{n}": [StandinServer(f"i-{n}", bytes([65 + n]) * 16 + bytes([75 + n]) * 16)]
        for n in range(3)
    }
    route = route_record(
        "/all/",
        service=None,
        **{"fanout-services": list(servers), "top-k": 4, "min-coverage": 0.5},
    )
    with deployment([route], servers) as (daemon, _):
        status, headers, body = ask(daemon, request("/all/1"))[0]
    assert status == 200
    assert body == b"M" * 16 + b"L" * 16 + b"K" * 16 + b"C" * 16
    stamps = headers["x-marigoldwalk-part-stamps"].split(", ")
    assert sorted(stamps) == ["stamp-i-0", "stamp-i-1", "stamp-i-2"]
    assert headers["x-marigoldwalk-missing-parts"] == "0"


def test_keep_alive_connection_serves_many_requests():
    with deployment() as (daemon, _):
        responses = ask(daemon, *(request(request_id=f"q-{n}") for n in range(5)))
    assert [status for status, _, _ in responses] == [200] * 5


def test_unknown_path_returns_404():
    with deployment() as (daemon, _):
        status, headers, _ = ask(daemon, request("/none/1"))[0]
    assert status == 404
    assert "x-marigoldwalk-response-stamp" not in headers


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (
            request(method="POST", body=b"abc", headers=["Transfer-Encoding: chunked"]),
            400,
        ),
        (request(method="POST", body=b"abc", headers=["Content-Length: 9"]), 400),
        (request(method="POST", headers=["Content-Length: -1"]), 400),
        (request(method="POST", headers=["Transfer-Encoding: gzip, chunked"]), 400),
        (request(method="POST", headers=["Transfer-Encoding: chunked"]) + b"zz\r\n", 400),
        (request(method="POST", body=b"x" * 1001), 413),
        (request(headers=[f"X-Large: {'x' * 5000}"]), 431),
        (request(headers=["X-Marigoldwalk-Deadline-Ms: soon"]), 400),
    ],
    ids=["both", "lengths", "negative", "codings", "chunk", "body", "headers", "deadline"],
)
def test_malformed_request_is_rejected_and_reaches_no_server(data, expected):
    servers = {"s-1": [StandinServer("i-1", b"ok")]}
    with (
        deployment(servers=servers) as (daemon, _),
        daemon.connect() as sock,
        sock.makefile("rb") as stream,
    ):
        # The data after the malformed request must not be parsed as another request.
        sock.sendall(data + request("/one/smuggled"))
        assert read_response(stream)[0] == expected
        assert read_response(stream) is None
    assert servers["s-1"][0].requests == []


def test_new_configuration_takes_effect():
    servers = {"s-1": [StandinServer("i-1", b"1")], "s-2": [StandinServer("i-2", b"2")]}
    with deployment(servers=servers) as (daemon, store):
        assert ask(daemon, request())[0][2] == b"1"
        store.put("op/config", config_record(2, [route_record(service="s-2")], ["s-1", "s-2"]))
        with gevent.Timeout(TEST_TIMEOUT_S):
            while ask(daemon, request())[0][2] != b"2":
                gevent.sleep(0.01)


def test_stop_completes_open_requests_and_announces_connection_close():
    server = StandinServer("i-1", answer=slow_answer("i-1", 0.3))
    with deployment(servers={"s-1": [server]}) as (daemon, _):
        with daemon.connect() as sock, sock.makefile("rb") as stream:
            sock.sendall(request())
            gevent.sleep(0.05)
            stopped = gevent.spawn(daemon.stop)
            status, headers, body = read_response(stream)
            assert (status, body) == (200, b"done")
            assert headers["connection"] == "close"
            assert not daemon.gateway.is_ready()
            # New connections still arrive until the balancer notices.
            assert ask(daemon, request())[0][0] == 200
        assert stopped.get(timeout=TEST_TIMEOUT_S) == 0


def ask_until_stopped(daemon, stopped, interval_s):
    """Send requests with a body during a stop; return the responses until the listener closes."""
    responses = []

    def ask_once(number):
        try:
            sock = daemon.connect()
        except OSError:
            return
        with sock, sock.makefile("rb") as stream:
            sock.sendall(request(request_id=f"q-{number}", method="POST", body=b"x"))
            responses.append(read_response(stream))

    callers = []
    while not stopped.ready():
        callers.append(gevent.spawn(ask_once, len(callers)))
        gevent.sleep(interval_s)
    gevent.joinall(callers, raise_error=True)
    return responses


def test_request_that_comes_late_in_the_grace_period_is_refused_and_never_runs():
    """Requests were passed on until the end of the grace period and then aborted, with a 500."""
    server = StandinServer("i-1", answer=slow_answer("i-1", 0.3))
    route = route_record(**{"route-kind": "unsafe", "target-latency-ms": 500})
    with deployment([route], {"s-1": [server]}) as (daemon, _):
        stopped = gevent.spawn(daemon.stop)
        gevent.sleep(0)
        responses = ask_until_stopped(daemon, stopped, interval_s=0.2)
    assert {status for status, _, _ in responses} == {200, 503}
    # Status 503 is a promise that the request has not run.
    assert len(server.requests) == sum(status == 200 for status, _, _ in responses)
    refusals = [headers for status, headers, _ in responses if status == 503]
    assert {headers["retry-after"] for headers in refusals} == {"0.000"}
    assert daemon.gateway.world.counters["refusal.stopping"] == len(refusals)


def test_request_that_outlasts_the_grace_period_is_answered_before_its_end():
    """Such a request got a 500 of the HTTP server, whether or not it had reached a server."""
    server = StandinServer("i-1", answer=slow_answer("i-1", 9.0))
    route = route_record(**{"route-kind": "unsafe", "timeout-ms": 9000})
    patient = ["X-Marigoldwalk-Deadline-Ms: 9000"]
    with deployment([route], {"s-1": [server]}) as (daemon, _):
        requests = [request(request_id=f"q-{n}", headers=patient) for n in range(8)]
        callers = [gevent.spawn(ask, daemon, data) for data in requests]
        wait_until(lambda: server.requests)
        gevent.sleep(0.05)
        stopped = gevent.spawn(daemon.stop)
        statuses = [caller.get(timeout=TEST_TIMEOUT_S)[0][0] for caller in callers]
        assert stopped.get(timeout=TEST_TIMEOUT_S) == 0
    assert set(statuses) == {503, 504}
    assert statuses.count(504) == len(server.requests)


def test_stopping_delegate_refuses_a_late_query_and_the_caller_is_served(monkeypatch):
    """A query that a stopping delegate accepted late was aborted, and its caller got the 500."""
    servers = {"s-1": [StandinServer("i-1", b"A" * 16)]}
    with deployment([route_record("/all/", **FAN_OUT)], servers) as (daemon, store):
        delegate = Daemon(store)
        delegate.wait_until_ready()
        chosen = delegate_report(delegate)
        monkeypatch.setattr(Delegation, "choose", lambda *_: chosen)
        delegate.gateway._frontend.begin_stop(delegate.gateway._clock.now() + 0.5)
        assert ask(daemon, request("/all/1"))[0][0] == 200
        assert daemon.gateway.world.counters["carry.failed"] == 1
        assert delegate.gateway.world.counters["send.own_domain"] == 0
        delegate.kill()


def test_stopping_daemon_does_not_wait_for_a_delegate_beyond_its_end(monkeypatch):
    route = route_record("/all/", **FAN_OUT, **{"target-latency-ms": 4000})
    with scripted(...) as silent, deployment([route]) as (daemon, _):
        chosen = MemberReport("m-delegate", silent.address, 1, 1, "north", 1.0)
        monkeypatch.setattr(Delegation, "choose", lambda *_: chosen)
        caller = gevent.spawn(ask, daemon, request("/all/1"))
        assert silent.request_received.wait(TEST_TIMEOUT_S)
        daemon.gateway._frontend.begin_stop(daemon.gateway._clock.now() + 0.1)
        assert caller.get(timeout=2.0)[0][0] == 502


def test_stop_closes_idle_connections():
    with deployment() as (daemon, _), daemon.connect() as sock, sock.makefile("rb") as stream:
        sock.sendall(request())
        assert read_response(stream)[0] == 200
        daemon.stop()
        assert read_response(stream) is None


def test_reload_does_not_affect_callers():
    with deployment() as (daemon, _):
        daemon.gateway.reload()
        assert ask(daemon, request())[0][0] == 200


def test_caller_disconnect_cancels_its_request():
    server = StandinServer("i-1", answer=slow_answer("i-1", 5.0))
    with deployment(servers={"s-1": [server]}) as (daemon, _):
        with daemon.connect() as sock:
            sock.sendall(request())
            with gevent.Timeout(TEST_TIMEOUT_S):
                while not server.requests:
                    gevent.sleep(0.005)
        with gevent.Timeout(TEST_TIMEOUT_S):
            while daemon.gateway.open_count:
                gevent.sleep(0.01)
    assert daemon.gateway.world.counters["lost.abandoned"] == 1


def test_fan_out_query_is_delegated_and_runs_locally_if_the_delegate_is_down(monkeypatch):
    servers = {"s-1": [StandinServer("i-1", b"A" * 16)]}
    with deployment([route_record("/all/", **FAN_OUT)], servers) as (daemon, store):
        delegate = Daemon(store)
        delegate.wait_until_ready()
        chosen = delegate_report(delegate)
        monkeypatch.setattr(Delegation, "choose", lambda *_: chosen)
        status, headers, body = ask(daemon, request("/all/1"))[0]
        assert (status, body) == (200, b"A" * 16)
        assert headers["x-marigoldwalk-part-stamps"] == "stamp-i-1"
        assert daemon.gateway.world.counters["carry.answered"] == 1
        assert delegate.gateway.world.counters["answer.whole"] == 1
        assert daemon.gateway.world.counters["answer.whole"] == 0
        delegate.kill()
        assert ask(daemon, request("/all/1", request_id="q-2"))[0][0] == 200
        assert daemon.gateway.world.counters["carry.failed"] == 1


def test_delegate_refuses_query_of_unknown_configuration_version(monkeypatch):
    with deployment([route_record("/all/", **FAN_OUT)]) as (daemon, store):
        delegate = Daemon(store)
        delegate.wait_until_ready()
        catalog = daemon.gateway.world.catalog
        catalog.apply_config(replace(catalog.config, version=2))
        chosen = delegate_report(delegate)
        monkeypatch.setattr(Delegation, "choose", lambda *_: chosen)
        assert ask(daemon, request("/all/1"))[0][0] == 200
        assert daemon.gateway.world.counters["carry.failed"] == 1
        delegate.kill()


def test_delegate_uses_configuration_version_of_the_forwarding_daemon(monkeypatch):
    servers = {"s-1": [StandinServer("i-1", b"A" * 16)], "s-2": [StandinServer("i-2", b"B" * 16)]}
    with deployment([route_record("/all/", **FAN_OUT)], servers) as (daemon, store):
        delegate = Daemon(store)
        delegate.wait_until_ready()
        catalog = delegate.gateway.world.catalog
        fan_out = FanOut(("s-2",), 4, 0.5)
        route = replace(catalog.config.routes[0], fan_out=fan_out)
        catalog.apply_config(replace(catalog.config, version=2, routes=(route,)))
        chosen = delegate_report(delegate)
        monkeypatch.setattr(Delegation, "choose", lambda *_: chosen)
        assert ask(daemon, request("/all/1"))[0][2] == b"A" * 16
        assert daemon.gateway.world.counters["carry.answered"] == 1
        delegate.kill()


def test_query_that_the_delegate_may_have_run_is_not_sent_again(monkeypatch):
    monkeypatch.setattr(delegate_client, "REPLY_GRACE_S", 0.05)
    servers = {"s-1": [StandinServer("i-1", b"A" * 16)]}
    route = route_record("/all/", **FAN_OUT, **{"target-latency-ms": 100})
    with deployment([route], servers) as (daemon, _):
        for script in ((...,), (None,)):
            with scripted(*script) as silent:
                chosen = MemberReport("m-delegate", silent.address, 1, 1, "north", 1.0)
                monkeypatch.setattr(Delegation, "choose", lambda *_, c=chosen: c)
                assert ask(daemon, request("/all/1"))[0][0] == 502
    assert servers["s-1"][0].requests == []


def test_fan_out_query_with_a_body_is_not_delegated(monkeypatch, closed_address):
    servers = {"s-1": [StandinServer("i-1", b"A" * 16)]}
    with deployment([route_record("/all/", **FAN_OUT)], servers) as (daemon, _):
        chosen = MemberReport("m-delegate", closed_address, 1, 1, "north", 1.0)
        monkeypatch.setattr(Delegation, "choose", lambda *_: chosen)
        assert ask(daemon, request("/all/1", "POST", body=b"words"))[0][0] == 200
        assert daemon.gateway.world.counters["carry.failed"] == 0
    assert servers["s-1"][0].requests == [("POST", "/all/1", b"words")]


def test_rejected_requests_are_counted_by_reason():
    with deployment() as (daemon, _):
        for data in (
            request(headers=["X-Marigoldwalk-Deadline-Ms: soon"]),
            request(method="POST", body=b"x" * 1001),
            request(headers=[f"X-Large: {'x' * 5000}"]),
        ):
            ask(daemon, data)
        counters = daemon.gateway.world.counters
    assert counters["refusal.malformed"] == 1
    assert counters["refusal.body_too_large"] == 1
    assert counters["refusal.headers_too_large"] == 1


def set_limits(daemon, **limits):
    catalog = daemon.gateway.world.catalog
    config = catalog.config
    catalog.apply_config(replace(config, version=2, limits=replace(config.limits, **limits)))


def test_configured_idle_and_header_timeouts_apply_to_callers():
    with deployment() as (daemon, _):
        set_limits(daemon, idle_timeout_s=0.03, header_timeout_s=0.02)
        with daemon.connect() as sock, sock.makefile("rb") as stream:
            sock.sendall(request())
            assert read_response(stream)[0] == 200
            assert read_response(stream) is None
        with daemon.connect() as sock, sock.makefile("rb") as stream:
            sock.sendall(b"GET /one/1 HTTP/1.1\r\nHost:")
            assert read_response(stream)[0] == 408


def test_request_that_arrives_during_a_process_pause_is_answered():
    with deployment() as (daemon, _):
        set_limits(daemon, idle_timeout_s=0.05)
        with daemon.connect() as sock, sock.makefile("rb") as stream:
            sock.sendall(request())
            assert read_response(stream)[0] == 200
            sock.sendall(request())
            time.sleep(0.1)
            assert read_response(stream)[0] == 200


def answering(server_id, *headers, status="200 OK"):
    """Return a stand-in server whose answers have further headers."""

    def answer(environ, start_response):
        own = [("X-Marigoldwalk-Response-Stamp", f"stamp-{server_id}"), ("Content-Length", "2")]
        start_response(status, [*own, *headers])
        return [b"ok"]

    return StandinServer(server_id, answer=answer)


def test_leaving_server_receives_nothing_after_its_first_answer():
    servers = {"s-1": [answering("i-1", ("Server-Leaving", "1")), answering("i-2")]}
    with deployment(servers=servers) as (daemon, _):
        responses = ask(daemon, *(request(request_id=f"q-{n}") for n in range(12)))
    assert [status for status, _, _ in responses] == [200] * 12
    assert len(servers["s-1"][0].requests) <= 1
    assert all("server-leaving" not in headers for _, headers, _ in responses)


def test_server_receives_no_more_than_the_limit_in_its_first_answer():
    servers = {"s-1": [answering("i-1", ("Server-Limit", "0.2"))]}
    with deployment(servers=servers) as (daemon, _):
        responses = ask(daemon, *(request(request_id=f"q-{n}") for n in range(6)))
        world = daemon.gateway.world
        assert daemon.gateway.settings.name in world.senders.members
        assert world.member_count == len(world.senders.members)
    assert [status for status, _, _ in responses] == [200] + [503] * 5
    assert [body for _, _, body in responses[1:]] == [b"servers_limited"] * 5
    assert all("server-limit" not in headers for _, headers, _ in responses)
    assert len(servers["s-1"][0].requests) == 1


def test_caller_hears_when_the_servers_that_asked_for_a_pause_take_requests_again():
    pause = [("X-Marigoldwalk-Not-Executed", "1"), ("Retry-After", "30")]
    servers = {"s-1": [answering(f"i-{n}", *pause, status="503 Busy") for n in range(2)]}
    with deployment(servers=servers) as (daemon, _):
        responses = ask(daemon, *(request(request_id=f"q-{n}") for n in range(6)))
    assert [status for status, _, _ in responses] == [503] * 6
    assert [body for _, _, body in responses] == [b"servers_paused"] * 6
    assert all(25 < float(headers["retry-after"]) <= 30 for _, headers, _ in responses)
    assert [len(server.requests) for server in servers["s-1"]] == [1, 1]


def test_daemon_follows_a_store_that_was_restored_from_a_copy():
    servers = {"s-1": [StandinServer("i-1", b"one")], "s-2": [StandinServer("i-2", b"two")]}
    routes = [route_record(), route_record("/two/", service="s-2")]
    with deployment([routes[0]], servers) as (daemon, store):
        watcher = daemon.gateway._store_watcher
        store.put("op/config", config_record(7, routes, servers))
        wait_until(lambda: daemon.gateway.world.catalog.config.version == 7)
        # The copy has the first version, and the revisions of the second are given out again.
        store.restore(1)
        store.put("op/evacuate/south", {})
        wait_until(lambda: watcher.era == 2)
        assert ask(daemon, request("/two/1"))[0][0] == 200
        store.put("op/config", config_record(9, [routes[1]], servers))
        wait_until(lambda: daemon.gateway.world.catalog.config.version == 9)
        assert ask(daemon, request("/one/1"))[0][0] == 404


def test_request_with_a_length_and_chunks_is_rejected_at_once_and_counted():
    headers = ["Content-Length: 5", "Transfer-Encoding: chunked"]
    with deployment() as (daemon, _):
        with daemon.connect() as sock, sock.makefile("rb") as stream, gevent.Timeout(2.0):
            # No chunk follows, so a server that waited for one would not answer.
            sock.sendall(request(method="POST", headers=headers))
            assert read_response(stream)[0] == 400
            assert read_response(stream) is None
        assert daemon.gateway.world.counters["refusal.malformed"] == 1


@pytest.mark.parametrize(("max_connections", "expected"), [(1, 3), (100, 1)])
def test_connections_are_not_kept_at_a_server_that_accepts_fewer_than_there_are_daemons(
    max_connections, expected
):
    ports = set()

    def answer(environ, start_response):
        ports.add(environ["REMOTE_PORT"])
        headers = [("X-Marigoldwalk-Response-Stamp", "stamp"), ("Content-Length", "2")]
        start_response("200 OK", headers)
        return [b"ok"]

    with deployment(servers={"s-1": [StandinServer("i-1", answer=answer)]}) as (daemon, store):
        record = config_record(2, [route_record()], ["s-1"])
        record["services"][0]["max-connections"] = max_connections
        store.put("op/config", record)
        wait_until(lambda: daemon.gateway.world.catalog.config.version == 2)
        # A daemon that knows no other one assumes seven.
        responses = ask(daemon, *(request(request_id=f"q-{n}") for n in range(3)))
    assert [status for status, _, _ in responses] == [200] * 3
    assert len(ports) == expected
