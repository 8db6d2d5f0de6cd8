"""The program that serves callers, wired from the platform's settings."""

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
    """Serves callers."""

    def __init__(self, cfg: PlatformSettings, metrics: Metrics) -> None:
        self._entry = RelayEntry(
            cfg=RelaySettings(
                name=cfg.name,
                zone=cfg.zone,
                callers_address=cfg.callers,
                readiness_address=cfg.readiness,
                node_address=f'{cfg.ip}:{cfg.entry_port}',
                seeds=cfg.seed_nodes,
                agent_port=cfg.agent_port,
                retry_budget=cfg.retry_budget,
                grace_s=cfg.grace_s,
            ),
            dialect=PlatformDialect(),
            decode=decode_configuration,
            metrics=metrics,
            spans=_spans(cfg),
            rng=random.Random(os.urandom(8)),
        )

    def start(self) -> None:
        """Begin to serve."""
        self._entry.start()

    def stop(self) -> None:
        """Finish what is under way."""
        self._entry.stop()

    def reload(self, cfg: PlatformSettings) -> None:
        """Follow the control nodes that are named now."""
        self._entry.set_seeds(cfg.seed_nodes)


def _spans(cfg: PlatformSettings) -> Spans:
    """Return where spans go; what records them is read only if it is needed."""
    if not cfg.traces_file:
        return NoSpans()
    from ..telemetry.traced_spans import TracedSpans

    return TracedSpans(
        program='pistachiopath-entry', node=cfg.name, path=cfg.traces_file
    )
