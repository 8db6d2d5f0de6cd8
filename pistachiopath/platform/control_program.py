"""The control program, configured from the platform's settings."""

from __future__ import annotations

import logging
import os
import random
from pathlib import Path
from typing import TYPE_CHECKING

from ..document.settings import DocumentSettings
from ..document.shell import DocumentShell
from ..errors.storage import CorruptFile, StorageFailed
from ..exchange.limits import ExchangeLimits
from ..exchange.server import HttpServer
from ..relay.settings import LINK_SECRET
from ..storage.data_folder import DataFolder
from ..storage.memory_folder import MemoryFolder
from ..storage.no_record_file import NoRecordFile
from ..storage.record_file import RecordFile
from ..transport.frames import MAX_FRAME_BYTES
from ..util.loop_failures import LoopFailures
from ..util.program import EXIT_FAILED
from .control_api import ControlApi, body_limit
from .decoded_accounts import DecodedAccounts
from .rollout_api import RolloutApi

if TYPE_CHECKING:
    from ..telemetry.metrics import Metrics
    from .settings import PlatformSettings

logger = logging.getLogger(__name__)

# A replica is reported as silent after missing this many announcement periods.
SILENT_AFTER_PERIODS = 3
# Every call is answered within 1 second, so a longer drain is not needed.
DRAIN_TIMEOUT_S = 1.0
END_TIMEOUT_S = 0.2
# A configuration is sent in one frame, with the records of all replicas beside it.
BESIDE_CONTENT_BYTES = 1024 * 1024
HTTP_LIMITS = ExchangeLimits(
    max_body_bytes=MAX_FRAME_BYTES - BESIDE_CONTENT_BYTES, idle_timeout_s=30.0
)


class ControlProgram:
    """Stores the configuration and the replicas' announcements."""

    def __init__(self, cfg: PlatformSettings, metrics: Metrics) -> None:
        folder = Path(cfg.data_folder)
        has_disk = bool(cfg.data_folder)
        has_rollouts = cfg.rollouts is not None
        try:
            self._shell = DocumentShell(
                cfg=DocumentSettings(
                    node_address=cfg.node_address(cfg.control_port),
                    listen_address=cfg.listen_address(cfg.control_port),
                    seeds=cfg.seed_nodes,
                    forms=cfg.is_first_start,
                    tolerated_losses=cfg.tolerated_losses,
                    diskless=not has_disk,
                    silent_after_s=SILENT_AFTER_PERIODS * cfg.announce_ms / 1000,
                    allowance_overage=cfg.allowance_overage,
                    allowance_slack_tokens=cfg.allowance_slack_tokens,
                    rollouts=cfg.rollouts,
                ),
                open_folder=lambda: (
                    DataFolder(path=folder) if has_disk else MemoryFolder()
                ),
                customers=DecodedAccounts().read,
                replicas=(
                    RecordFile(path=folder / 'replicas') if has_disk else NoRecordFile()
                ),
                rng=random.Random(os.urandom(8)),
                secret=LINK_SECRET,
                failures=LoopFailures(metrics=metrics),
                metrics=metrics,
            )
        except (StorageFailed, CorruptFile) as exc:
            logger.critical('data_folder_unusable', extra={'error': repr(exc)})
            raise SystemExit(EXIT_FAILED) from exc
        rollouts = (
            RolloutApi(shell=self._shell, metrics=metrics) if has_rollouts else None
        )
        api = ControlApi(shell=self._shell, metrics=metrics, rollouts=rollouts)
        self._server = HttpServer(
            address=cfg.control,
            handle=api.handle,
            limits=lambda: HTTP_LIMITS,
            name='control',
            body_limit=body_limit,
        )

    def start(self) -> None:
        """Join the control nodes' group and serve the API."""
        self._shell.start()
        self._server.start()

    def stop(self) -> None:
        """Drain the calls in progress, then stop."""
        self._server.stop_accepting()
        self._server.wait_until_idle(DRAIN_TIMEOUT_S)
        self._server.end_unfinished(END_TIMEOUT_S)
        self._shell.stop()

    def reload(self, cfg: PlatformSettings) -> None:
        """Apply the control nodes' addresses from the changed settings."""
        self._shell.set_seeds(cfg.seed_nodes)
