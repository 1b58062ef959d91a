"""Export of a daemon's metrics in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from hdrh.histogram import HdrHistogram
    from prometheus_client.metrics_core import Metric

    from .recorder import Recorder

PREFIX = "marigoldwalk"
QUANTILES = (0.5, 0.9, 0.99, 0.999)


def counter_families(counters: Mapping[str, int]) -> Iterator[Metric]:
    """Yield one metric family for each counter name prefix, the part before the first dot.

    ``refusal.overloaded`` becomes ``marigoldwalk_refusal_total{reason="overloaded"}``.
    """
    families: dict[str, CounterMetricFamily] = {}
    for name in sorted(counters):
        kind, _, reason = name.partition(".")
        family = families.get(kind)
        if family is None:
            title = f"{PREFIX}_{kind.replace('-', '_')}"
            family = CounterMetricFamily(title, f"Events of kind {kind}", labels=["reason"])
            families[kind] = family
        family.add_metric([reason], counters[name])
    yield from families.values()


def latency_families(latency_us: Mapping[str, HdrHistogram]) -> Iterator[Metric]:
    """Yield latency by group: a gauge of quantiles and a summary of count and sum, in seconds."""
    quantiles = GaugeMetricFamily(
        f"{PREFIX}_latency_quantile_seconds",
        "Quantiles of the latency of answers since the start",
        labels=["group", "quantile"],
    )
    totals = SummaryMetricFamily(
        f"{PREFIX}_latency_seconds", "Latency of answers", labels=["group"]
    )
    for group, histogram in sorted(latency_us.items()):
        for quantile in QUANTILES:
            value_s = histogram.get_value_at_percentile(quantile * 100) / 1e6
            quantiles.add_metric([group, str(quantile)], value_s)
        count = histogram.get_total_count()
        totals.add_metric([group], count, histogram.get_mean_value() * count / 1e6)
    yield quantiles
    yield totals


def _counter_by_group(name: str, help_text: str, counts: Counter[str]) -> Metric:
    family = CounterMetricFamily(f"{PREFIX}_{name}", help_text, labels=["group"])
    for group, count in sorted(counts.items()):
        family.add_metric([group], count)
    return family


class _DaemonCollector(Collector):
    def __init__(self, recorder: Recorder, read_families: Callable[[], Iterable[Metric]]) -> None:
        self._recorder = recorder
        self._read_families = read_families

    def collect(self) -> Iterator[Metric]:
        recorder = self._recorder
        yield from latency_families(recorder.latency_us)
        yield _counter_by_group(
            "shards_wanted", "Shards that queries asked for", recorder.shards_wanted
        )
        yield _counter_by_group("shards_answered", "Shards in answers", recorder.shards_answered)
        yield _counter_by_group("subrequests", "Subrequests sent to servers", recorder.subrequests)
        yield from self._read_families()


def make_registry(
    recorder: Recorder, read_families: Callable[[], Iterable[Metric]]
) -> CollectorRegistry:
    """Return a registry of the metrics in *recorder* and those that *read_families* returns."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_DaemonCollector(recorder, read_families))
    return registry


def render(registry: CollectorRegistry) -> bytes:
    """Return the text of all metrics."""
    return generate_latest(registry)
