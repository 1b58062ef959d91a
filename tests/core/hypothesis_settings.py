"""Hypothesis settings of the property-based tests of whole fleets."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings


def deterministic_settings(examples: int) -> settings:
    """Return settings for a fixed set of examples, without shrinking, which would take too long."""
    return settings(
        max_examples=examples,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(Phase.explicit, Phase.generate),
        suppress_health_check=list(HealthCheck),
    )
