from __future__ import annotations

import pytest
import yaml

from marigoldwalk.config.problems import Rejected
from marigoldwalk.config.settings import Settings, parse_settings, read_settings
from marigoldwalk.config.view import Address
from marigoldwalk.core.parameters import Parameters
from marigoldwalk.errors import Code, MarigoldwalkError


def settings_text(**changes):
    values = {
        "name": "m-1",
        "domain": "bud-a",
        "caller_address": "127.0.0.1:7000",
        "peer_address": "127.0.0.1:7001",
        "admin_address": "127.0.0.1:0",
        "platform": "http://127.0.0.1:9000/",
    }
    return yaml.safe_dump(values | changes, sort_keys=False)


def test_settings_are_read(tmp_path):
    path = tmp_path / "m-1.yaml"
    path.write_text(settings_text(parameters={"heartbeat_s": 1, "queue_limit_count": 9}))
    settings = read_settings(path)
    assert isinstance(settings, Settings)
    assert settings.caller_address == Address("127.0.0.1", 7000)
    assert settings.platform == "http://127.0.0.1:9000"
    assert settings.parameters == Parameters(heartbeat_s=1, queue_limit_count=9)


@pytest.mark.parametrize(
    ("changes", "path", "line"),
    [
        ({"name": ""}, "name", 1),
        ({"peer_address": "127.0.0.1:7000"}, "peer_address", 4),
        ({"admin_address": "127.0.0.1"}, "admin_address", 5),
        ({"platform": "ftp://127.0.0.1"}, "platform", 6),
        ({"platform": "http://127.0.0.1:99999"}, "platform", 6),
        ({"log_level": "loud"}, "log_level", 7),
        ({"parameters": {"heartbeat_s": -1}}, "parameters.heartbeat_s", 8),
        ({"parameters": {"queue_limit_count": 1.5}}, "parameters.queue_limit_count", 8),
        ({"parameters": {"heartbeat": 1}}, "parameters.heartbeat", 8),
    ],
)
def test_each_problem_is_reported_with_its_field_and_line(changes, path, line):
    rejected = parse_settings(settings_text(**changes))
    assert isinstance(rejected, Rejected)
    assert [(problem.path, problem.line) for problem in rejected.problems] == [(path, line)]


def test_read_settings_raises_an_error_with_a_code(tmp_path):
    with pytest.raises(MarigoldwalkError) as caught:
        read_settings(tmp_path / "absent.yaml")
    assert caught.value.code is Code.SETTINGS_UNREADABLE
    path = tmp_path / "bad.yaml"
    path.write_text(settings_text(colour="red"))
    with pytest.raises(MarigoldwalkError) as caught:
        read_settings(path)
    assert caught.value.code is Code.SETTINGS_INVALID
    assert str(caught.value) == f"{path}:7: colour: Extra inputs are not permitted."
