"""Log lines for contents whose quarantine begins or ends."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..quarantine.blame import CrashHistory

logger = logging.getLogger(__name__)


class QuarantineLog:
    """Writes one line when a content is put in quarantine, and one when it leaves."""

    def __init__(self) -> None:
        self._quarantined: frozenset[bytes] = frozenset()

    def update(self, blamed: Mapping[bytes, CrashHistory]) -> None:
        """Log what has changed since the last call; `blamed` is in quarantine now."""
        quarantined = frozenset(blamed)
        if quarantined == self._quarantined:
            return
        for key in sorted(quarantined - self._quarantined):
            history = blamed[key]
            logger.warning(
                'quarantine_begun',
                extra={
                    'content': key.hex(),
                    'depth': history.content.depth,
                    'ran_well_before': history.is_proven,
                    'crashes': ','.join(sorted(history.runs)),
                },
            )
        for key in sorted(self._quarantined - quarantined):
            logger.warning('quarantine_ended', extra={'content': key.hex()})
        self._quarantined = quarantined
