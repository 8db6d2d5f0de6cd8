"""Replica records that a control node keeps across restarts."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..directory.announcer import Announcer
    from ..storage.no_record_file import NoRecordFile
    from ..storage.record_file import RecordFile

logger = logging.getLogger(__name__)

SAVE_INTERVAL_S = 0.5


class SavedReplicas:
    """Copies an announcer's records to a file, and back after a restart.

    `now` is a monotonic clock in seconds.
    """

    def __init__(
        self, *, file: RecordFile | NoRecordFile, announcer: Announcer
    ) -> None:
        self._file = file
        self._announcer = announcer
        self._saved_change = 0
        self._save_at = 0.0

    def load(self, now: float) -> None:
        """Announce the replicas that were known before a restart.

        Their next announcements correct what has changed since.
        """
        try:
            records = tuple(self._file.load())
        except OSError as exc:
            logger.warning('replicas_not_loaded', extra={'error': exc.errno})
            return
        self._announcer.load(records, now)
        self._saved_change = self._announcer.directory.change
        logger.info('replicas_loaded', extra={'number': len(records)})

    def save(self, now: float) -> None:
        """Write the records if any has changed, at most once in `SAVE_INTERVAL_S`."""
        change = self._announcer.directory.change
        if change == self._saved_change or now < self._save_at:
            return
        self._save_at = now + SAVE_INTERVAL_S
        try:
            self._file.save(self._announcer.directory.records())
        except OSError as exc:
            logger.warning('replicas_not_saved', extra={'error': exc.errno})
            return
        self._saved_change = change
