from __future__ import annotations

from dataclasses import replace

import pytest

from marigoldwalk.routing.config_changes import compare_configs
from marigoldwalk.routing.config_check import check_config
from marigoldwalk.routing.findings import Severity
from marigoldwalk.routing.model import Service, WeightedService, Workspace

from .simulation import fan_out_route, routing_config, single_route

KEY = b"digest-1"


def one_route(**changes):
    return routing_config([single_route(**changes)], ["s-1"])


def fan_out(shards=("a", "b"), min_coverage=0.75, **changes):
    return routing_config([fan_out_route(shards, min_coverage, **changes)], ["a", "b"])


def workspaces(*entries):
    return replace(one_route(), workspaces=entries)


def test_a_sound_configuration_has_no_findings():
    config = replace(fan_out(), workspaces=(Workspace("w-1", frozenset({KEY}), 1, 5.0, 5.0),))
    assert check_config(config, {"a": 2, "b": 2}) == []


@pytest.mark.parametrize(
    ("config", "severity", "entry", "reason"),
    [
        (one_route(prefix="/one"), Severity.ERROR, "route r-1", "slashes"),
        (one_route(host="desk.example:80"), Severity.ERROR, "route r-1", "matches the host"),
        (
            routing_config([single_route(), single_route(name="r-2")], ["s-1"]),
            Severity.ERROR,
            "route r-1",
            "route r-2 has the same host and prefix",
        ),
        (one_route(service="s-2"), Severity.ERROR, "route r-1", "no service s-2"),
        (one_route(splits=()), Severity.ERROR, "route r-1", "names no service"),
        (one_route(target_s=3.0), Severity.ERROR, "route r-1", "below the target of 3000 ms"),
        (one_route(timeout_s=0.0), Severity.ERROR, "route r-1", "timeout is 0"),
        (one_route(idempotent=False), Severity.WARNING, "route r-1", "must not be repeated"),
        (
            one_route(splits=(WeightedService("s-1", 0.0),)),
            Severity.ERROR,
            "route r-1",
            "all weights are 0",
        ),
        (routing_config([single_route()], ["s-1", "s-2"]), Severity.WARNING, "service s-2", "no"),
        (fan_out(("a", "a", "b")), Severity.ERROR, "route r-all", "named twice: a"),
        (fan_out(min_coverage=1.2), Severity.ERROR, "route r-all", "coverage of 1.2"),
        (
            replace(one_route(), services={"s-1": Service("s-1", 25, 0.0, 4.0)}),
            Severity.WARNING,
            "service s-1",
            "never cold",
        ),
        (workspaces(Workspace("w-1")), Severity.WARNING, "workspace w-1", "no key"),
        (
            workspaces(*(Workspace(name, frozenset({KEY})) for name in ("w-1", "w-2"))),
            Severity.ERROR,
            "workspace w-2",
            "belongs to workspace w-1",
        ),
        (
            workspaces(Workspace("w-1", frozenset({KEY}), None, 5.0, 0.5)),
            Severity.WARNING,
            "workspace w-1",
            "under one request",
        ),
        (
            workspaces(Workspace("w-1", frozenset({KEY}), None, 0.0, 5.0)),
            Severity.WARNING,
            "workspace w-1",
            "no rate",
        ),
    ],
)
def test_a_mistake_is_found(config, severity, entry, reason):
    found = [f for f in check_config(config) if f.entry == entry and reason in f.reason]
    assert [finding.severity for finding in found] == [severity]


@pytest.mark.parametrize(
    ("config", "replicas", "severity", "reason"),
    [
        (one_route(), {}, Severity.WARNING, "no server is registered for s-1"),
        (one_route(max_attempts=3), {"s-1": 2}, Severity.WARNING, "exceed the 2 servers"),
        (fan_out(), {"a": 2}, Severity.ERROR, "only 1 of 2 shards have servers"),
    ],
)
def test_a_mistake_that_registered_servers_show_is_found(config, replicas, severity, reason):
    assert not any(reason in finding.reason for finding in check_config(config))
    found = [finding for finding in check_config(config, replicas) if reason in finding.reason]
    assert [finding.severity for finding in found] == [severity]


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        (one_route(), one_route(timeout_s=1.5), "route r-1: timeout_s changes from 2 to 1.5"),
        (one_route(), one_route(service="s-2"), "route r-1: requests leave s-1 and go to s-2"),
        (one_route(), one_route(prefix="/two/"), "route r-1: moves from desk.example/one/"),
        (one_route(), fan_out(), "route r-1: is removed; its requests get 404"),
        (one_route(is_public=True), one_route(), "route r-1: requests without a key get 401"),
        (
            workspaces(Workspace("w-1", frozenset({KEY}))),
            workspaces(Workspace("w-1", frozenset())),
            "workspace w-1: 1 keys are withdrawn; requests with them get 401",
        ),
        (
            workspaces(Workspace("w-1", rate_per_s=9.0, burst=9.0)),
            workspaces(Workspace("w-1", rate_per_s=2.0, burst=9.0)),
            "workspace w-1: its limit is lowered; requests over it get 429",
        ),
    ],
)
def test_a_change_for_callers_is_named(old, new, expected):
    findings = compare_configs(old, replace(new, version=old.version + 1))
    assert any(str(finding).startswith(f"change: {expected}") for finding in findings)


def test_the_same_configuration_under_a_later_version_changes_nothing():
    assert compare_configs(fan_out(), replace(fan_out(), version=2)) == []


def test_a_version_that_does_not_rise_is_an_error():
    (finding,) = compare_configs(one_route(), one_route())
    assert finding.severity is Severity.ERROR
