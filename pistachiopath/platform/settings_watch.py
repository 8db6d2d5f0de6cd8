"""Watch on the settings file of a running program."""

from __future__ import annotations

import logging
import signal
from typing import TYPE_CHECKING

import gevent
import gevent.event

from ..configuration.toml_file import load
from ..errors.settings import InvalidFile
from ..util.essential import spawn_essential
from .settings import PlatformSettings

if TYPE_CHECKING:
    from pathlib import Path

    from ..util.loop_failures import LoopFailures
    from .program import Program

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.5


class SettingsWatch:
    """Polls the settings file, at once on SIGHUP, and applies changes.

    A change that the program fails to apply is tried again at the next poll.
    """

    def __init__(
        self,
        *,
        path: Path,
        cfg: PlatformSettings,
        program: Program,
        failures: LoopFailures,
    ) -> None:
        self._path = path
        self._current = cfg
        self._program = program
        self._failures = failures
        self._changed = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to watch the file."""
        gevent.signal_handler(signal.SIGHUP, self._changed.set)
        self._greenlet = spawn_essential('settings', self._run)

    def stop(self) -> None:
        """Stop to watch it."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            self._changed.wait(POLL_INTERVAL_S)
            self._changed.clear()
            try:
                self._apply_changes()
            except InvalidFile as exc:
                logger.warning('settings_unusable', extra={'reason': str(exc)})
            except Exception as exc:
                self._failures.record('settings', 'reload', exc)

    def _apply_changes(self) -> None:
        """Apply the file if it has changed; raises `InvalidFile`."""
        cfg = load(self._path, PlatformSettings)
        if cfg == self._current:
            return
        self._program.reload(cfg)
        self._current = cfg
        logger.info('settings_reloaded', extra={'seeds': ','.join(cfg.seeds)})
