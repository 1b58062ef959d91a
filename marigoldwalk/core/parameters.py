"""Tunable constants of the core."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Parameters:
    """Tunable constants. Each name ends in its unit, or in ``_ratio`` or ``_count`` without one."""

    caller_margin_s: float = 0.006
    """Part of a deadline that is reserved for the answer to reach the caller."""
    relay_margin_s: float = 0.004
    """Part of a deadline that is reserved for a home's reply to reach the entry daemon."""
    heartbeat_s: float = 0.25
    peer_silence_s: float = 1.0
    """Time without heartbeats after which a peer counts as unreachable."""
    pause_s: float = 1.0
    """Gap between steps after which the process counts as paused and its view as possibly stale."""
    view_confirm_s: float = 2.5
    """Age of the last confirmation of the configuration beyond which no new work is sent."""
    list_lag_s: float = 5.0
    """Longest delay with which a change appears in the platform's instance list."""
    list_age_s: float = 2.0
    """Age of the last read of the instance list beyond which no request id is claimed."""
    list_hasten_s: float = 0.1
    """Shortest time between extra reads of the list because a peer has a newer one."""
    takeover_s: float = 0.25
    """Time after which a second home takes over when its connection to the first home breaks."""
    silent_takeover_s: float = 0.6
    """Time after which a second home takes over when the first home stops sending heartbeats."""
    quarantine_s: float = 10.0
    """Time for which a new home waits for a former home that cannot be reached."""
    probe_s: float = 1.0
    """Interval at which a first home probes the health of a server."""
    second_probe_s: float = 3.0
    """Interval at which a second home probes the health of a server."""
    status_s: float = 1.0
    """Interval at which an unchanged block status is repeated."""
    status_age_s: float = 5.0
    """Age beyond which a block status is ignored."""
    cold_successes_count: int = 16
    """Successes per unit of a server's concurrency limit before the limit grows by one."""
    cold_word_count: int = 64
    """Successes after which a server's report that it is cold is ignored."""
    slow_ratio: float = 4.0
    """Multiple of the median latency from which a reply counts as slow."""
    slow_count: int = 3
    """Consecutive slow replies after which a server is treated as cold."""
    shed_backoff_s: float = 0.1
    """Backoff for a server that shed work without a hint when to try again."""
    lost_backoff_s: float = 0.25
    """Backoff for a server that refused or lost a connection."""
    move_settle_s: float = 1.0
    """Time without new work for a server that moved to another block, so that its former home can
    apply the move too."""
    draining_hold_s: float = 2.0
    """Time for which a server's report that it is draining overrides its health probes."""
    retry_ratio: float = 0.10
    """Retries that each first attempt adds to the budget."""
    hedge_ratio: float = 0.05
    """Hedges that each first attempt adds to the budget."""
    budget_burst_count: float = 10.0
    hedge_quantile_ratio: float = 0.95
    """Quantile of the group's latency from which the hedge delay is derived."""
    hedge_margin_ratio: float = 1.5
    """Factor by which that quantile is multiplied to give the hedge delay."""
    hedge_floor_s: float = 0.005
    hedge_default_s: float = 0.1
    """Hedge delay while no latency has been measured."""
    cancel_grace_s: float = 0.02
    """Time after its deadline when a subrequest no longer occupies its server, confirmed or not."""
    queue_limit_count: int = 64
    """Subrequests that may wait for one service before the lowest priority is refused."""
    suspect_s: float = 60.0
    """Time for which content that crashed servers is refused."""
    suspect_deaths_count: int = 2
    """Number of crashed servers from which the content that they ran is refused."""
    proven_s: float = 60.0
    """Time for which content that ran without a crash needs no trial."""
    claim_s: float = 30.0
    """Lifetime of a request id."""
    clock_skew_s: float = 1.0
    """Largest difference between the clocks of two machines."""
    claim_timeout_s: float = 0.1
    overload_s: float = 0.05
    """Shortest retry hint for a caller that was refused because of overload."""
    balancer_lag_s: float = 3.0
    """Time for which the load balancer still sends callers to a daemon that is leaving."""
    memory_count: int = 20_000
    """Maximum number of fingerprints, and of claims, that are remembered."""
