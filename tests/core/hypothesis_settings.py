"""How the property tests of whole fleets are run."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings


def deterministic_settings(examples: int) -> settings:
    """Run a fixed set of examples; a failing one is shown as it is, since shrinking takes long."""
    return settings(
        max_examples=examples,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(Phase.explicit, Phase.generate),
        suppress_health_check=list(HealthCheck),
    )
