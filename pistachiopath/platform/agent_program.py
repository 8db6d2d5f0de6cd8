"""The agent program, configured from the platform's settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..grants.shell import GateShell
from ..relay.settings import LINK_SECRET
from ..util.loop_failures import LoopFailures
from .engine_reader import EngineReader

if TYPE_CHECKING:
    from ..telemetry.metrics import Metrics
    from .settings import PlatformSettings


class AgentProgram:
    """Runs the gate for the engine on this VM, and reads the engine's reports."""

    def __init__(self, cfg: PlatformSettings, metrics: Metrics) -> None:
        self._shell = GateShell(
            address=cfg.node_address(cfg.agent_port),
            listen_address=cfg.listen_address(cfg.agent_port),
            secret=LINK_SECRET,
            metrics=metrics,
        )
        self._reader = EngineReader(
            address=cfg.engine,
            is_wanted=self._shell.gate.engine.is_active,
            on_report=self._shell.record_report,
            metrics=metrics,
            failures=LoopFailures(metrics=metrics),
        )
        self._has_engine = bool(cfg.engine)

    def start(self) -> None:
        """Start granting places on the engine."""
        self._shell.start()
        if self._has_engine:
            self._reader.start()

    def stop(self) -> None:
        """Stop immediately."""
        self._reader.stop()
        self._shell.stop()

    def reload(self, cfg: PlatformSettings) -> None:
        """Ignore changed settings: none of them applies to an agent."""
