from __future__ import annotations

from marigoldwalk.core.actions import AnswerCaller
from marigoldwalk.core.peer_messages import MissingShard
from marigoldwalk.errors import Code, Execution, Missing
from marigoldwalk.metrics.export import make_registry, render
from marigoldwalk.metrics.recorder import Recorder


def answer(group, elapsed_s, code=Code.OK, execution=Execution.RAN):
    return AnswerCaller(
        query=1,
        code=code,
        reason="",
        execution=execution,
        group=group,
        index="kiosks",
        snapshot=1,
        shard_count=3,
        answered=2,
        missing=(MissingShard(2, Missing.LATE),),
        hits=(),
        retry_after_s=0.0,
        elapsed_s=elapsed_s,
        subrequests=4,
    )


def lines_of(recorder):
    return render(make_registry(recorder, lambda: ())).decode().splitlines()


def test_latency_is_recorded_by_group():
    recorder = Recorder()
    for elapsed_ms in range(1, 101):
        recorder.record(answer("stock", elapsed_ms / 1000))
    quantile_us = recorder.latency_us["stock"].get_value_at_percentile(99)
    assert 98_000 <= quantile_us <= 101_000
    lines = lines_of(recorder)
    assert 'marigoldwalk_latency_seconds_count{group="stock"} 100.0' in lines
    assert 'marigoldwalk_shards_wanted_total{group="stock"} 300.0' in lines
    assert 'marigoldwalk_shards_answered_total{group="stock"} 200.0' in lines
    assert 'marigoldwalk_subrequests_total{group="stock"} 400.0' in lines


def test_refusals_are_not_recorded_in_a_histogram():
    recorder = Recorder()
    recorder.record(answer("any text", 0.0, Code.UNKNOWN_GROUP, Execution.NOT_RUN))
    assert not recorder.latency_us
