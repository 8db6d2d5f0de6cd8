"""Logging with one key=value line per event."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

import logfmter

if TYPE_CHECKING:
    from typing import TextIO

    from .bounded_stream import BoundedStream


class _ProcessFields(logging.Filter):
    """Adds the program and the node name of the process to each event."""

    def __init__(self, *, program: str, node: str) -> None:
        super().__init__()
        self._program = program
        self._node = node

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the fields; keep every event."""
        record.program = self._program
        record.node = self._node
        return True


def configure_logging(
    program: str, node: str, level: str, stream: TextIO | BoundedStream | None = None
) -> None:
    """Configure this process to log to a stream, one line per event.

    The default stream is stderr.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.addFilter(_ProcessFields(program=program, node=node))
    handler.setFormatter(
        logfmter.Logfmter(
            keys=['at', 'level', 'logger'],
            mapping={'at': 'asctime', 'level': 'levelname', 'logger': 'name'},
        )
    )
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
