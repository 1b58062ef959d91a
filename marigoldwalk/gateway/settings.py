"""Settings of a gateway daemon, loaded from a YAML file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Literal

from pydantic import Field

from ..config.addresses import ListenAddress, ServerAddress  # noqa: TC001 (read by pydantic)
from ..config.problems import Rejected
from ..config.text_files import read_text
from ..config.validation import Name, StrictModel, validate
from ..config.yaml_text import parse_yaml
from ..errors import Code, MarigoldwalkError
from ..routing.budgets import BudgetLimits
from ..routing.world import QuotaLimits, RoutingLimits

if TYPE_CHECKING:
    from pathlib import Path

    from ..config.view import Address


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The validated settings of one gateway daemon."""

    name: str
    domain: str
    caller_address: Address
    readiness_address: Address
    """Address of the load balancer's readiness check."""
    peer_address: Address
    admin_address: Address | None
    """Address of the metrics and status pages; ``None`` disables them."""
    seeds: tuple[Address, ...]
    """Peer addresses of a few daemons to join by gossip; they may be out of date."""
    store_address: Address
    log_level: str
    cores: float
    """CPU time available to the daemon, in cores."""
    grace_s: float
    """Time from SIGTERM to the end of the process, in seconds."""
    limits: RoutingLimits


class GatewaySettingsModel(StrictModel):
    """Schema of the settings file. Numbers without a default come from the platform's limits."""

    name: Name
    domain: Name
    caller_address: ListenAddress
    readiness_address: ListenAddress
    peer_address: ListenAddress
    admin_address: ListenAddress | None = None
    seeds: tuple[ServerAddress, ...] = Field(default=(), strict=False)
    store_address: ServerAddress
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    cores: float = Field(default=1.0, gt=0)
    cpu_share: float = Field(default=1.0, gt=0)
    """Fraction of each core that the daemon may use."""
    grace_s: float = Field(default=6.0, gt=0)
    retry_ratio: float = Field(default=0.2, ge=0)
    retry_window_s: float = Field(default=10.0, gt=0)
    retry_slack: float = Field(default=52.0, ge=0)
    cold_factor: float = Field(default=1.5, ge=0)
    cold_slack: float = Field(default=5.0, ge=0)
    caller_delay_ms: float = Field(default=3.0, ge=0)
    drain_ms: float = Field(default=3000.0, ge=0)
    """Time for which a server that has said that it is leaving may still receive requests."""
    quota_window_s: float = Field(default=5.0, gt=0)
    quota_overage: float = Field(default=0.25, ge=0)
    quota_slack: float = Field(default=20.0, ge=0)
    revoke_fail_closed: bool = False
    revoke_ms: float = Field(default=5000.0, gt=0)


def parse_gateway_settings(text: str) -> GatewaySettings | Rejected:
    """Return the settings in *text*, or the problems found in it."""
    parsed = parse_yaml(text)
    if isinstance(parsed, Rejected):
        return parsed
    model = validate(GatewaySettingsModel, parsed)
    return model if isinstance(model, Rejected) else _to_settings(model)


def read_gateway_settings(path: Path) -> GatewaySettings:
    """Return the settings in the file at *path*.

    Raises ``MarigoldwalkError`` if the file cannot be read or is invalid.
    """
    settings = parse_gateway_settings(read_text(path, Code.SETTINGS_UNREADABLE))
    if isinstance(settings, Rejected):
        lines = "\n".join(f"{path}:{problem}" for problem in settings.problems)
        raise MarigoldwalkError(Code.SETTINGS_INVALID, lines)
    return settings


def _to_settings(model: GatewaySettingsModel) -> GatewaySettings:
    retries = BudgetLimits(model.retry_ratio, model.retry_window_s, model.retry_slack)
    return GatewaySettings(
        name=model.name,
        domain=model.domain,
        caller_address=model.caller_address,
        readiness_address=model.readiness_address,
        peer_address=model.peer_address,
        admin_address=model.admin_address,
        seeds=model.seeds,
        store_address=model.store_address,
        log_level=model.log_level,
        cores=model.cores * model.cpu_share,
        grace_s=model.grace_s,
        limits=RoutingLimits(
            retries=retries,
            cold_factor=model.cold_factor,
            cold_slack=model.cold_slack,
            caller_delay_s=model.caller_delay_ms / 1000,
            drain_s=model.drain_ms / 1000,
            quotas=QuotaLimits(model.quota_window_s, model.quota_overage, model.quota_slack),
            revoke_fail_closed=model.revoke_fail_closed,
            revoke_s=model.revoke_ms / 1000,
        ),
    )
