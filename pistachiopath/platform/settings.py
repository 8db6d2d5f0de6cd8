"""Settings of all programs on the platform, from the rendered template."""

from __future__ import annotations

import attrs

from ..admission.retry_budget import RetryBudgetLimits
from ..configuration.value_types import Address, OptionalAddress


@attrs.define(kw_only=True, frozen=True)
class PlatformSettings:
    """One VM's settings; `deploy/settings.toml` is the template.

    `ports` are the first and the last port for messages between nodes.
    `announce_ms` is the period of replicas' announcements.  Spans are appended
    to `traces_file`; without one there are none.  `allowance_overage` is the
    part by which entries together may go beyond a customer's allowance, and
    `allowance_slack_tokens` what they may let through beyond that.
    """

    name: str
    role: str
    zone: str
    ip: str
    ports: tuple[int, ...]
    seeds: tuple[Address, ...] = ()
    callers: OptionalAddress = OptionalAddress('')
    readiness: OptionalAddress = OptionalAddress('')
    control: OptionalAddress = OptionalAddress('')
    engine: OptionalAddress = OptionalAddress('')
    data_folder: str = ''
    is_first_start: bool = False
    tolerated_losses: int = 1
    announce_ms: float = 1200.0
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    retry_window_s: float = 10.0
    allowance_overage: float = 0.0
    allowance_slack_tokens: float = 0.0
    log_level: str = 'info'
    traces_file: str = ''

    @property
    def control_port(self) -> int:
        """Port of control nodes for messages between nodes."""
        return self.ports[0]

    @property
    def entry_port(self) -> int:
        """Port of entries for messages between nodes."""
        return self.ports[0] + 1

    @property
    def agent_port(self) -> int:
        """Port of agents for messages between nodes."""
        return self.ports[0] + 2

    @property
    def seed_nodes(self) -> tuple[str, ...]:
        """Addresses of the seeds for messages between nodes."""
        hosts = [seed.rpartition(':')[0] for seed in self.seeds]
        return tuple(f'{host}:{self.control_port}' for host in hosts)

    @property
    def retry_budget(self) -> RetryBudgetLimits:
        """Bounds of repeated sends."""
        return RetryBudgetLimits(
            ratio=self.retry_ratio,
            slack=self.retry_slack,
            window_s=self.retry_window_s,
        )
