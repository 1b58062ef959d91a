from __future__ import annotations

import json
import socket
import time

import pytest
import urllib3

from standins.fleet import Fleet
from standins.fleet_plan import FleetOptions

POLLS_COUNT = 400
POLL_S = 0.05
LONG_MS = 3_600_000.0


@pytest.fixture(scope="module")
def fleet():
    with Fleet(FleetOptions(deployment="budapest", daemons=0, server_processes=1)) as started:
        yield started


def wait_for(condition):
    for _ in range(POLLS_COUNT):
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise AssertionError("condition not met in time")


def subrequest_body(shard: int, **fields) -> bytes:
    defaults = {
        "attempt": "m-1:1.0:1",
        "group": "stock",
        "index": "kiosks",
        "snapshot": 1,
        "shards": [shard],
        "limit": 10,
        "body": {"op": "stock"},
        "request_id": "",
        "deadline_ms": LONG_MS,
    }
    return json.dumps(defaults | fields).encode()


def connect(address: str) -> socket.socket:
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=30)


def request_head(path: str, body: bytes) -> bytes:
    lines = (
        f"POST {path} HTTP/1.1",
        "Host: x",
        "Connection: close",
        f"Content-Length: {len(body)}",
    )
    return "\r\n".join((*lines, "", "")).encode()


def post(address: str, path: str, body: bytes):
    return urllib3.request("POST", f"http://{address}{path}", body=body, retries=False, timeout=30)


def test_server_answers_match_the_direct_computation(fleet):
    for number in (0, 31):
        address = fleet.servers[f"kiosks-{number:02}-b"].address
        reply = post(address, "/search", subrequest_body(number)).json()
        direct = fleet.direct_answer("kiosks", 1, {"op": "stock"}, 10, [number])
        assert [(hit["key"], hit["score"]) for hit in reply["hits"]] == [
            (hit.key, hit.score) for hit in direct
        ]


def test_request_whose_body_arrives_late_gets_its_own_answer(fleet):
    address = fleet.servers["kiosks-06-a"].address
    late, other = subrequest_body(6, limit=1), subrequest_body(6, limit=3)
    with connect(address) as sock:
        sock.sendall(request_head("/search", late))
        assert len(post(address, "/search", other).json()["hits"]) == 3
        sock.sendall(late)
        reply = sock.makefile("rb").read()
    assert len(json.loads(reply.partition(b"\r\n\r\n")[2])["hits"]) == 1


def test_closed_connection_cancels_its_subrequest(fleet):
    name = "kiosks-02-a"
    fleet.control(name, service_ms=LONG_MS)
    body = subrequest_body(2)
    with connect(fleet.servers[name].address) as sock:
        sock.sendall(request_head("/search", body) + body)
        wait_for(lambda: fleet.journals()[name]["runs"] == 1)
    wait_for(lambda: fleet.journals()[name]["outcomes"].get("failed") == 1)


def test_connections_over_the_limit_are_reset(fleet):
    server = fleet.servers["kiosks-04-a"]
    open_sockets = [connect(server.address) for _ in range(25)]
    with connect(server.address) as extra, pytest.raises(ConnectionResetError):
        extra.recv(1)
    for sock in open_sockets:
        sock.close()
    journal = fleet.journals()[server.name]
    assert (journal["connections_peak"], journal["connections_refused"]) == (25, 1)


def test_crash_resets_connections_and_refuses_until_the_next_incarnation(fleet):
    server = fleet.servers["kiosks-05-a"]
    health = f"http://{server.address}/health"
    before = urllib3.request("GET", health, retries=False).json()["incarnation"]
    fleet.control(server.name, down_s=1.0)
    with connect(server.address) as sock:
        fleet.control(server.name, crash=True)
        with pytest.raises(ConnectionResetError):
            sock.recv(1)

    def incarnation():
        try:
            return urllib3.request("GET", health, retries=False).json()["incarnation"]
        except urllib3.exceptions.HTTPError:
            return ""

    assert wait_for(incarnation) != before
    assert len(fleet.journals()[server.name]["deaths"]) == 1


def test_new_snapshots_reach_the_servers(fleet):
    fleet.set_snapshots("promotions", {2: 4})
    address = fleet.servers["promotions-a"].address
    holdings = urllib3.request("GET", f"http://{address}/health").json()["holdings"]
    assert holdings == [{"snapshot": 2, "shard_count": 4, "shards": [0, 1, 2, 3]}]


def test_malformed_request_gets_status_400(fleet):
    address = fleet.servers["promotions-b"].address
    assert post(address, "/search", subrequest_body(0, surplus=1)).status == 400
    assert post(address, "/control", b'{"no_such": 1}').status == 400


def test_platform_serves_and_watches_documents_and_counts_calls(fleet):
    url = f"http://{fleet.platform_address}/configuration"
    revision = urllib3.request("GET", url).json()["revision"]
    assert revision == fleet.revision
    watch = f"{url}?after={revision}&wait_ms=1"
    assert urllib3.request("GET", watch, retries=False).status == 304
    fleet.control_platform(outage="error")
    assert urllib3.request("GET", url, retries=False).status == 503
    fleet.control_platform(outage="")
    assert fleet.platform_calls()["configuration"] == 3


def test_stop_ends_all_processes():
    with Fleet(FleetOptions(deployment="quito", daemons=0, server_processes=2)) as quito_fleet:
        children = quito_fleet.children()
        assert len(quito_fleet.servers) == 110
        assert all(child.running() for child in children)
    assert not any(child.running() for child in children)
    assert not quito_fleet.folder.exists()
