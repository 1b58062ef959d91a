from __future__ import annotations

import json

from marigoldwalk.gateway.config_dump import dump_config, load_config
from marigoldwalk.gateway.settings import GatewaySettings, parse_gateway_settings
from marigoldwalk.routing.model import RoutingConfig, Workspace
from marigoldwalk.util.gevent_http import GeventConnection
from standins.gateway_backends import route_record

from . import daemons
from .daemons import ask, deployment, request


def get(daemon, path):
    address = daemon.gateway.admin_address
    connection = GeventConnection(address.host, address.port, timeout=5.0)
    connection.connect()
    try:
        return connection.exchange("GET", path, None, {})
    finally:
        connection.close()


def test_metrics_count_answers_and_their_latency(monkeypatch):
    monkeypatch.setattr(daemons, "SETTINGS", daemons.SETTINGS + "admin_address: 127.0.0.1:0\n")
    with deployment([route_record(name="r-one")]) as (daemon, _):
        ask(daemon, request(), request("/none/1"))
        text = get(daemon, "/metrics").body.decode()
        status = json.loads(get(daemon, "/status").body)
        route = json.loads(get(daemon, "/explain/r-one").body)
        missing = get(daemon, "/explain/none")
    assert 'marigoldwalk_answer_total{reason="whole"} 1.0' in text
    assert 'marigoldwalk_refusal_total{reason="no_route"} 1.0' in text
    assert 'marigoldwalk_latency_seconds_count{group="r-one"} 1.0' in text
    assert (status["name"], status["version"], status["servers"]) == ("g-1", 1, 1)
    assert route["servers"][0]["server"] == "i-1"
    assert route["servers"][0]["pace"] == 1.0
    assert missing.status == 404


def test_problems_in_settings_name_the_field():
    rejected = parse_gateway_settings("name: g-1\ndomain: north\ngrace_s: -1\n")
    lines = [str(problem) for problem in rejected.problems]
    assert any("grace_s" in line for line in lines)
    assert any("store_address" in line for line in lines)


def test_cpu_share_scales_the_number_of_cores():
    text = daemons.SETTINGS.format(store="127.0.0.1:9") + "cores: 2\ncpu_share: 0.5\n"
    settings = parse_gateway_settings(text)
    assert isinstance(settings, GatewaySettings)
    assert settings.cores == 1.0


def test_the_configuration_in_force_is_read_back_without_a_loss(monkeypatch):
    monkeypatch.setattr(daemons, "SETTINGS", daemons.SETTINGS + "admin_address: 127.0.0.1:0\n")
    with deployment([route_record(name="r-one")]) as (daemon, _):
        record = json.loads(get(daemon, "/configuration").body)
        config = daemon.gateway.world.catalog.config
    assert load_config(record["configuration"]) == config
    assert record["servers"] == dict.fromkeys(config.services, 1)


def test_a_dumped_configuration_contains_digests_of_keys():
    workspaces = (Workspace("w-1", frozenset({b"\x00\xff"}), 1, 5.0, 5.0),)
    config = RoutingConfig(3, (), {}, workspaces=workspaces)
    record = json.loads(json.dumps(dump_config(config)))
    assert record["workspaces"][0]["key_digests"] == ["00ff"]
    assert load_config(record) == config
