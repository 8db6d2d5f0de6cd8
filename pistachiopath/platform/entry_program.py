"""The entry program, configured from the platform's settings."""

from __future__ import annotations

import os
import random
from typing import TYPE_CHECKING

from ..relay.entry import RelayEntry
from ..relay.settings import RelaySettings
from ..telemetry.spans import NoSpans
from .configuration import decode_configuration
from .dialect import PlatformDialect

if TYPE_CHECKING:
    from ..telemetry.metrics import Metrics
    from ..telemetry.spans import Spans
    from .settings import PlatformSettings


class EntryProgram:
    """Runs the relay that serves callers."""

    def __init__(self, cfg: PlatformSettings, metrics: Metrics) -> None:
        self._entry = RelayEntry(
            cfg=RelaySettings(
                name=cfg.name,
                zone=cfg.zone,
                callers_address=cfg.callers,
                readiness_address=cfg.readiness,
                node_address=cfg.node_address(cfg.entry_port),
                listen_address=cfg.listen_address(cfg.entry_port),
                seeds=cfg.seed_nodes,
                agent_port=cfg.agent_port,
                retry_budget=cfg.retry_budget,
                grace_s=cfg.grace_s,
                drain_s=cfg.drain_ms / 1000,
                announce_s=cfg.announce_ms / 1000,
                rollouts=cfg.rollouts,
            ),
            dialect=PlatformDialect(),
            decode=decode_configuration,
            metrics=metrics,
            spans=_spans(cfg),
            rng=random.Random(os.urandom(8)),
        )

    def start(self) -> None:
        """Start serving callers."""
        self._entry.start()

    def stop(self) -> None:
        """Drain the requests in progress, then stop."""
        self._entry.stop()

    def reload(self, cfg: PlatformSettings) -> None:
        """Apply the control nodes' addresses from the changed settings."""
        self._entry.set_seeds(cfg.seed_nodes)


def _spans(cfg: PlatformSettings) -> Spans:
    """Return the span recorder; its module is imported only if spans are on."""
    if not cfg.traces_file:
        return NoSpans()
    from ..telemetry.traced_spans import TracedSpans

    return TracedSpans(
        program='pistachiopath-entry', node=cfg.name, path=cfg.traces_file
    )
