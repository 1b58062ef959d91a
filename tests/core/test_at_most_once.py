"""Tests that a request id runs at most once, and that a "not run" answer is true."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marigoldwalk.core.parameters import Parameters
from marigoldwalk.errors import Code, Execution

from .fleet import START, FleetDriver, Network
from .hypothesis_settings import deterministic_settings

SKEW_S = 0.2
PARAMETERS = Parameters(
    claim_s=4.0, clock_skew_s=SKEW_S, list_lag_s=0.8, list_age_s=0.7, quarantine_s=0.2
)
DAEMONS = 5
NAMES = [f"m-{number}" for number in range(1, DAEMONS + 1)]
WARM_UP_S = 5.0
"""Time after which the daemons accept request ids."""

names = st.sampled_from(NAMES)
request_ids = st.integers(0, 2)
steps = st.one_of(
    st.tuples(st.just("ask"), names, request_ids),
    st.tuples(st.just("ask"), names, request_ids),
    st.tuples(st.just("ask"), names, request_ids),
    st.tuples(st.just("pause"), names, st.sampled_from([0.05, 1.5, 6.0])),
    st.tuples(st.just("restart"), names, st.sampled_from([0.0, 0.3, 1.0])),
    st.tuples(st.just("split"), st.sets(names, min_size=1, max_size=4), st.none()),
    st.tuples(st.just("heal"), st.none(), st.none()),
    st.tuples(st.just("unlist"), names, st.none()),
    st.tuples(st.just("lag"), names, st.sampled_from([0.0, 0.4, 0.8])),
    st.tuples(st.just("block_platform"), names, st.none()),
    st.tuples(st.just("crash"), st.integers(0, 7), st.none()),
)
scenarios = st.lists(
    st.tuples(st.sampled_from([0.0, 0.001, 0.01, 0.2, 1.0]), steps), min_size=3, max_size=30
)


class Scenario:
    """Runs steps against a fleet and records when each request id was issued."""

    def __init__(self, seed: int, *, jitter_s: float = 0.0, quorum: bool = True) -> None:
        skews = {name: SKEW_S * (number % 3 - 1) / 2 for number, name in enumerate(NAMES)}
        network = Network(jitter_s=jitter_s, duplication_ratio=0.1, loss_ratio=0.02)
        self.fleet = FleetDriver(
            DAEMONS, parameters=PARAMETERS, seed=seed, network=network, skews=skews
        )
        self.fleet.run(WARM_UP_S)
        self.issued: dict[int, float] = {}
        self.listed = list(NAMES)

    def run(self, scenario: list) -> None:
        for delay_s, (kind, *arguments) in scenario:
            self.fleet.run(delay_s)
            getattr(self, kind)(*arguments)
        self.fleet.run(8.0)

    def ask(self, name: str, request: int) -> None:
        issued_at = self.issued.setdefault(request, self.fleet.now)
        self.fleet.ask(
            name, "record", key=str(request), request_id=f"r-{request}", issued_at=issued_at
        )

    def pause(self, name: str, seconds: float) -> None:
        if not self.fleet.nodes[name].paused:
            self.fleet.pause(name, seconds)

    def restart(self, name: str, seconds: float) -> None:
        if self.fleet.nodes[name].up:
            self.fleet.kill(name)
            self.fleet.after(seconds, lambda: self.fleet.start(name))

    def split(self, part: set[str], _: None) -> None:
        self.fleet.network.split(sorted(part), sorted(set(NAMES) - part))

    def heal(self, *_: None) -> None:
        self.fleet.network.heal()
        self.fleet.platform.down_for.clear()
        self.listed = list(NAMES)
        self.fleet.publish_instances(self.listed)

    def unlist(self, name: str, _: None) -> None:
        self.listed = [other for other in self.listed if other != name]
        self.fleet.publish_instances(self.listed)

    def lag(self, name: str, seconds: float) -> None:
        self.fleet.platform.list_lag_s[name] = seconds

    def block_platform(self, name: str, _: None) -> None:
        self.fleet.platform.down_for.add(name)

    def crash(self, server: int, _: None) -> None:
        name = sorted(self.fleet.servers)[server]
        if self.fleet.servers[name].up:
            self.fleet.crash_server(name)


def first_runs(fleet: FleetDriver) -> dict[str, float]:
    """Return when each request id first began to run."""
    runs: dict[str, float] = {}
    for run in fleet.runs:
        runs.setdefault(run.request_id, run.at)
    return runs


def check_refusals(fleet: FleetDriver) -> None:
    """Check that a request answered with "not run" had not begun to run before the answer."""
    runs = first_runs(fleet)
    for number, answer in fleet.answers.items():
        request_id = fleet.asked[number][1].request_id
        if request_id and answer.execution is Execution.NOT_RUN:
            assert runs.get(request_id, float("inf")) >= fleet.answered_at[number], answer


@deterministic_settings(60)
@given(scenarios, st.integers(0, 1000), st.sampled_from([0.0, 0.004, 0.05]))
def test_no_request_id_runs_twice(scenario, seed, jitter_s):
    trial = Scenario(seed, jitter_s=jitter_s)
    trial.run(scenario)
    counts = trial.fleet.runs_by_request()
    assert all(count == 1 for count in counts.values()), counts
    check_refusals(trial.fleet)


def test_a_repeated_request_is_answered_as_already_run():
    fleet = FleetDriver(DAEMONS, parameters=PARAMETERS)
    fleet.run(WARM_UP_S)
    issued_at = fleet.now
    numbers = []
    for name in NAMES:
        numbers.append(fleet.ask(name, "record", request_id="r", issued_at=issued_at))
        fleet.run(0.3)
    answers = [fleet.answers[number] for number in numbers]
    assert [answer.code for answer in answers] == [Code.OK] + [Code.ALREADY_RUN] * 4
    assert fleet.runs_by_request() == {"r": 1}


def test_a_minority_runs_nothing_while_the_majority_keeps_serving():
    fleet = FleetDriver(DAEMONS, parameters=PARAMETERS)
    fleet.run(WARM_UP_S)
    fleet.network.split(["m-1", "m-2"], ["m-3", "m-4", "m-5"])
    in_minority = fleet.ask("m-1", "record", request_id="r-1", issued_at=fleet.now)
    in_majority = fleet.ask("m-3", "record", request_id="r-2", issued_at=fleet.now)
    fleet.run(0.5)
    assert fleet.answers[in_minority].code is Code.NO_QUORUM
    assert fleet.answers[in_majority].code in (Code.OK, Code.OUTCOME_UNKNOWN)
    assert "r-1" not in fleet.runs_by_request()


def run_in_majority() -> tuple[FleetDriver, float]:
    """Return a fleet in which the majority of m-1 to m-3 has run "r", and when "r" was issued."""
    fleet = FleetDriver(DAEMONS, parameters=PARAMETERS)
    fleet.run(WARM_UP_S)
    fleet.network.split(NAMES[:3], NAMES[3:])
    issued_at = fleet.now
    while "r" not in fleet.runs_by_request():
        fleet.ask("m-1", "record", request_id="r", issued_at=issued_at)
        fleet.run(0.1)
    fleet.network.heal()
    return fleet, issued_at


def repeat_until_expired(fleet: FleetDriver, issued_at: float, claimants: list[str]) -> None:
    """Repeat the request until one second after its id has expired."""
    while fleet.now < issued_at + PARAMETERS.claim_s + 1.0:
        for name in claimants:
            fleet.ask(name, "record", request_id="r", issued_at=issued_at)
        fleet.run(0.1)


def test_witnesses_that_restarted_promise_nothing_older_than_themselves():
    fleet, issued_at = run_in_majority()
    for name in NAMES[:3]:
        fleet.kill(name)
        fleet.start(name)
    repeat_until_expired(fleet, issued_at, ["m-4", "m-5"])
    assert fleet.runs_by_request() == {"r": 1}
    check_refusals(fleet)


@pytest.mark.parametrize("claimant", ["m-4", "m-6"])
def test_witnesses_that_crashed_still_count(claimant):
    fleet, issued_at = run_in_majority()
    for name in NAMES[:3]:
        fleet.kill(name)
    fleet.publish_instances(["m-4", "m-5", "m-6"])
    fleet.start("m-6")
    repeat_until_expired(fleet, issued_at, [claimant])
    assert fleet.runs_by_request() == {"r": 1}
    check_refusals(fleet)


def test_a_refused_claim_tells_when_ids_are_accepted():
    fleet = FleetDriver(DAEMONS, parameters=PARAMETERS)
    fleet.run(1.0)
    refused = fleet.ask("m-1", "record", request_id="r-1", issued_at=fleet.now)
    fleet.run(0.5)
    assert fleet.answers[refused].code is Code.NO_QUORUM
    fleet.run(fleet.answers[refused].retry_after_s + 3 * PARAMETERS.list_lag_s)
    accepted = fleet.ask("m-1", "record", request_id="r-2", issued_at=fleet.now)
    fleet.run(0.5)
    assert fleet.answers[accepted].code is Code.OK


def test_clock_difference_beyond_the_bound_is_refused():
    fleet = FleetDriver(DAEMONS, parameters=replace(PARAMETERS, clock_skew_s=0.0))
    fleet.run(WARM_UP_S)
    number = fleet.ask("m-1", "record", request_id="r", issued_at=fleet.now + 1.0)
    fleet.run(0.1)
    assert fleet.answers[number].code is Code.INVALID_REQUEST_ID
    assert fleet.now > START
