from __future__ import annotations

import io
import json
from collections import Counter
from pathlib import Path

import pytest

from marigoldwalk.config.acceptance import accept
from marigoldwalk.config.view import Address
from marigoldwalk.core.composition import Core
from marigoldwalk.core.events import DocumentRead, Instance, InstancesRead
from marigoldwalk.core.parameters import Parameters
from marigoldwalk.core.world import Identity
from marigoldwalk.daemon.admin import Admin
from marigoldwalk.daemon.readiness import Readiness
from marigoldwalk.metrics.recorder import Recorder

NOW = 1_000.0
DOCUMENT = Path(__file__).parents[2] / "deployments" / "budapest.yaml"


def get(app, path):
    """Return the status and body of a GET request to a WSGI application."""
    found = []
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": path, "wsgi.input": io.BytesIO()}
    environ["wsgi.errors"] = io.StringIO()
    chunks = app(environ, lambda status, headers, exc_info=None: found.append(status))
    return int(found[0].split()[0]), b"".join(chunks)


@pytest.fixture
def admin():
    address = Address("127.0.0.1", 1)
    core = Core(Identity("m-1", "bud-a", address, NOW), Parameters(), accept)
    instances = (
        Instance("m-1", address, "bud-a", False),
        Instance("m-2", Address("127.0.0.1", 2), "bud-b", False),
    )
    events = [
        DocumentRead(DOCUMENT.read_text(encoding="utf-8"), NOW),
        InstancesRead(1, instances, NOW),
    ]
    core.step(NOW, events)
    core.world.count("refusal.overloaded", 3)
    return Admin(core.world, Recorder(), Readiness(), Counter({"peer.disconnected": 2}))


def test_status_reports_the_configuration_and_the_peers(admin):
    status, body = get(admin.app, "/status")
    found = json.loads(body)
    assert status == 200
    assert (found["name"], found["revision"], found["list_version"]) == ("m-1", 1, 1)
    assert [peer["name"] for peer in found["peers"]] == ["m-2"]


def test_explain_lists_every_server_of_the_group(admin):
    status, body = get(admin.app, "/explain/owner-portal")
    found = json.loads(body)
    assert status == 200
    assert len(found["servers"]) == 3
    assert all(server["block"] and server["homes"] for server in found["servers"])
    assert {server["excluded"] for server in found["servers"]} == {False}


def test_explain_of_an_unknown_group_is_not_found(admin):
    status, body = get(admin.app, "/explain/none")
    assert (status, json.loads(body)["name"]) == (404, "UNKNOWN_GROUP")


def test_an_unknown_path_gets_a_json_error(admin):
    status, body = get(admin.app, "/nothing")
    assert (status, json.loads(body)["name"]) == (404, "NOT_FOUND")


def test_metrics_include_the_counters_of_the_core_and_the_io_layer(admin):
    status, body = get(admin.app, "/metrics")
    lines = body.decode().splitlines()
    assert status == 200
    assert 'marigoldwalk_refusal_total{reason="overloaded"} 3.0' in lines
    assert 'marigoldwalk_peer_total{reason="disconnected"} 2.0' in lines
    assert "marigoldwalk_revision 1.0" in lines


def test_a_starting_daemon_is_live_but_not_ready(admin):
    assert get(admin.app, "/live")[0] == 200
    assert get(admin.app, "/ready")[0] == 503
