from __future__ import annotations

import json
from pathlib import Path

import pytest
import yaml

from marigoldwalk import cli
from marigoldwalk.errors import Code

from .client.daemons import reply_fields, scripted_daemon
from .config.documents_for_tests import document, group
from .config.test_settings import settings_text
from .gateway.daemons import SETTINGS


def run(*arguments: object) -> int:
    with pytest.raises(SystemExit) as caught:
        cli.main([str(argument) for argument in arguments])
    return int(caught.value.code)


def test_check_accepts_documents_and_settings(tmp_path, capsys):
    path = tmp_path / "file.yaml"
    for text in (yaml.safe_dump(document()), settings_text()):
        path.write_text(text)
        assert run("check", path) == 0
        assert capsys.readouterr().out == f"{path}: valid\n"


def test_check_prints_each_problem_with_its_line(tmp_path, capsys):
    path = tmp_path / "file.yaml"
    path.write_text(yaml.safe_dump(document(groups=[group(priority=-1)]), sort_keys=False))
    assert run("check", path) == 1
    line = path.read_text().splitlines().index("  priority: -1") + 1
    message = "Input should be greater than or equal to 0."
    assert capsys.readouterr().out == f"{path}:{line}: groups[0].priority: {message}\n"


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (("check", "absent.yaml"), Code.DOCUMENT_INVALID),
        (("serve", "--settings", "absent.yaml"), Code.SETTINGS_UNREADABLE),
        (("query", "stock", "--body", "{"), Code.MALFORMED),
        (("query", "stock", "--body", "[]"), Code.INVALID_FIELD),
        (("query", "stock", "--daemon", "host:1"), Code.INVALID_FIELD),
        (("status", "--admin", "127.0.0.1:0"), Code.DAEMON_UNREACHABLE),
    ],
)
def test_a_failure_is_printed_as_one_line_with_its_code(arguments, code, capsys):
    assert run(*arguments) == 2
    error = capsys.readouterr().err
    assert error.startswith(f"{code.name} ({code.value}): ")
    assert error.count("\n") == 1


def test_query_prints_the_answer(capsys):
    hit = {"key": "a-1", "score": 3.0, "body": {"text": "muro"}}
    coverage = {
        "shards": 2,
        "answered": 1,
        "ratio": 0.5,
        "missing": [{"shard": 1, "reason": "its servers failed"}],
    }
    reply = reply_fields(code=1, name="PARTIAL", hits=[hit], coverage=coverage, snapshot=7)
    with scripted_daemon(reply, reply) as daemon:
        arguments = ("query", "case-desk", "--body", '{"op": "text"}', "--daemon", daemon.address)
        assert run(*arguments) == 0
        table = capsys.readouterr().out
        assert "1 of 2 shards; 1 missing: its servers failed" in table
        assert 'a-1  3      {"text": "muro"}' in table
        assert run(*arguments, "--json") == 0
    printed = json.loads(capsys.readouterr().out)
    assert printed["name"] == "PARTIAL"
    assert printed["hits"] == [hit]
    assert daemon.requests[0]["body"] == {"op": "text"}


def test_codes_lists_every_code(capsys):
    assert run("codes") == 0
    printed = capsys.readouterr().out
    assert all(f"{code.value:<4}  {code.name}\n" in printed for code in Code)


def test_trace_prints_the_lines_of_a_request_in_order_of_time(tmp_path, capsys):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text('1.2 m-1 {"time": "02", "request": "q-1", "message": "late"}\nnoise {\n')
    second.write_text(
        '{"time": "01", "request": "q-1", "message": "lost"}\n{"time": "03", "request": "q-2"}\n'
    )
    assert run("trace", "q-1", first, second) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [json.loads(line)["message"] for line in lines] == ["lost", "late"]
    assert run("trace", "q-9", first) == 1


def test_check_validates_the_settings_of_a_gateway(tmp_path, capsys):
    path = tmp_path / "gateway.yaml"
    path.write_text(SETTINGS.format(store="10.0.0.1:9000"))
    assert run("check", path) == 0
    path.write_text(SETTINGS.format(store="nowhere"))
    assert run("check", path) == 1
    assert "store_address" in capsys.readouterr().out


ROUTING_CONFIGS = Path(__file__).parent / "golden"


def routing_config_file(tmp_path, name, **changes):
    config = json.loads((ROUTING_CONFIGS / "routing_config.json").read_text())
    path = tmp_path / f"{name}.json"
    path.write_text(json.dumps(config | changes))
    return path


def test_check_accepts_a_routing_configuration(tmp_path, capsys):
    path = routing_config_file(tmp_path, "new")
    assert run("check", path, "--strict") == 0
    assert capsys.readouterr().out == f"{path}: valid\n"


@pytest.mark.parametrize(("option", "golden"), [(None, "check.txt"), ("--json", "check.json")])
def test_check_of_a_routing_configuration_prints_each_finding(tmp_path, capsys, option, golden):
    routes = json.loads((ROUTING_CONFIGS / "mistaken_routes.json").read_text())
    old = routing_config_file(tmp_path, "old")
    new = routing_config_file(tmp_path, "new", version=8, routes=routes)
    assert run("check", new, "--against", old, *([option] if option else [])) == 2
    output = capsys.readouterr().out.replace(str(tmp_path), "configs")
    assert output == (ROUTING_CONFIGS / golden).read_text()


def test_a_strict_check_fails_after_warnings(tmp_path, capsys):
    service = {"name": "spare", "max-connections": 25, "cold-start-s": 3.0, "cold-per-s": 0.0}
    config = json.loads((ROUTING_CONFIGS / "routing_config.json").read_text())
    path = routing_config_file(tmp_path, "new", services=[*config["services"], service])
    assert run("check", path) == 0
    assert run("check", path, "--strict") == 1
    assert capsys.readouterr().out.count("warning: service spare: no route names it") == 2


def test_check_names_the_fields_that_cannot_be_read(tmp_path, capsys):
    path = routing_config_file(tmp_path, "new", version="seven")
    assert run("check", path) == 2
    assert capsys.readouterr().out.startswith(f"{path}: error: version: ")
