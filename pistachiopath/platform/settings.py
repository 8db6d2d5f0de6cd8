"""Settings of all programs on the platform, from the rendered template."""

from __future__ import annotations

import attrs

from ..admission.retry_budget import RetryBudgetLimits
from ..configuration.value_types import MAX_PORT, Address, OptionalAddress
from ..rollouts.bounds import RolloutBounds

MIB = 1024 * 1024
# Part of the VM's memory for requests in progress: a VM may run two programs, each of
# which takes 40 MB and some more for answers.
REQUEST_SHARE = 1 / 8
DEFAULT_REQUEST_MEMORY_MB = 16.0
# Each kind of program has the first port or one of those after it.
PROGRAM_PORTS = 3


def _check_ports(_settings: object, _field: object, value: tuple[int, ...]) -> None:
    if not value or not 0 < value[0] <= MAX_PORT - PROGRAM_PORTS + 1:
        raise ValueError(f'ports must begin with 1 to {MAX_PORT - PROGRAM_PORTS + 1}')


@attrs.define(kw_only=True, frozen=True)
class PlatformSettings:
    """One VM's settings; `deploy/settings.toml` is the template.

    `ports` holds the first and last port for messages between nodes.  Other nodes
    connect to `advertise_ip`, where it is not `ip`, as through a proxy.
    `announce_ms` is the period of replicas' announcements, and a draining replica
    serves for `drain_ms`.  Spans are appended to `traces_file`; if it is empty,
    none are recorded.  `allowance_overage` is
    the fraction by which all entries together may exceed a customer's
    allowance, and `allowance_slack_tokens` is what they may admit beyond that.
    Rollouts of versions are possible where `exposure_share` is above 0; the others
    of their settings are described at `RolloutBounds`.
    `memory_mb` is the VM's memory, and `request_memory_mb` what a program's requests in
    progress may hold of it.
    """

    name: str
    role: str
    zone: str
    ip: str
    ports: tuple[int, ...] = attrs.field(validator=_check_ports)
    advertise_ip: str = ''
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
    drain_ms: float = 2000.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    retry_window_s: float = 10.0
    allowance_overage: float = 0.0
    allowance_slack_tokens: float = 0.0
    exposure_share: float = 0.0
    exposure_slack: float = 50.0
    rollback_ms: float = 5000.0
    ack_ms: float = 5000.0
    memory_mb: float = 0.0
    request_memory_mb: float = 0.0
    log_level: str = 'info'
    traces_file: str = ''

    @property
    def request_memory_bytes(self) -> float:
        """What requests in progress may hold in this process."""
        stated_mb = self.request_memory_mb or self.memory_mb * REQUEST_SHARE
        return (stated_mb or DEFAULT_REQUEST_MEMORY_MB) * MIB

    @property
    def control_port(self) -> int:
        """Port on which control nodes receive messages from other nodes."""
        return self.ports[0]

    @property
    def entry_port(self) -> int:
        """Port on which entries receive messages from other nodes."""
        return self.ports[0] + 1

    @property
    def agent_port(self) -> int:
        """Port on which agents receive messages from other nodes."""
        return self.ports[0] + 2

    def node_address(self, port: int) -> str:
        """Return the address to which other nodes send messages."""
        return f'{self.advertise_ip or self.ip}:{port}'

    def listen_address(self, port: int) -> str:
        """Return the address at which messages from other nodes are received."""
        return f'{self.ip}:{port}'

    @property
    def seed_nodes(self) -> tuple[str, ...]:
        """Addresses of the seeds with the control nodes' port for messages."""
        hosts = [seed.rpartition(':')[0] for seed in self.seeds]
        return tuple(f'{host}:{self.control_port}' for host in hosts)

    @property
    def rollouts(self) -> RolloutBounds | None:
        """Bounds on rollouts, or None if there are none."""
        if not self.exposure_share > 0:
            return None
        return RolloutBounds(
            exposure_share=self.exposure_share,
            exposure_slack=self.exposure_slack,
            rollback_s=self.rollback_ms / 1000,
            ack_s=self.ack_ms / 1000,
        )

    @property
    def retry_budget(self) -> RetryBudgetLimits:
        """Limits on retries."""
        return RetryBudgetLimits(
            ratio=self.retry_ratio,
            slack=self.retry_slack,
            window_s=self.retry_window_s,
        )
