"""Program `pistachiopath-control`."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import logging
import random
from pathlib import Path

from ..errors.storage import CorruptFile, StorageFailed
from ..storage.data_folder import DataFolder
from ..util.greenlet_errors import report_greenlet_errors
from ..util.program import (
    EXIT_FAILED,
    parse_settings,
    run_until_stopped,
    starting,
)
from .settings import ControlSettings
from .shell import ControlShell

logger = logging.getLogger(__name__)


def main() -> None:
    """Run a control replica until stopped."""
    cfg = parse_settings(
        'pistachiopath-control',
        'One replica of the durable state: claims, configuration, outcomes.',
        ControlSettings,
    )
    folder = DataFolder(path=Path(cfg.data_folder))
    try:
        shell = ControlShell(cfg=cfg, folder=folder, rng=random.SystemRandom())
    except (StorageFailed, CorruptFile) as exc:
        logger.critical('data_folder_unusable', extra={'error': repr(exc)})
        raise SystemExit(EXIT_FAILED) from exc
    report_greenlet_errors(shell.failures)
    with starting():
        shell.start()
    run_until_stopped(shell.stop)


if __name__ == '__main__':
    main()
