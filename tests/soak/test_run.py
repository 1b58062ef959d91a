from __future__ import annotations

import pytest

from soak.guarantees import TIMING_INDEPENDENT
from soak.run import RunOptions, run_seed

OPTIONS = RunOptions(daemons=3, callers=5, faults_s=6.0, fault_free_s=1.5)
SEEDS = (1, 7)


@pytest.mark.parametrize("seed", SEEDS)
def test_short_run_violates_no_timing_independent_guarantee(seed, tmp_path):
    # Guarantees with a time bound depend on the load of the machine; `make soak` checks them.
    result = run_seed(seed, OPTIONS, tmp_path)
    assert result.served > 0
    assert [v for v in result.violations if v.guarantee in TIMING_INDEPENDENT] == []
