"""Startup and shutdown code shared by the programs."""

from __future__ import annotations

import argparse
import contextlib
import logging
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import gevent
import gevent.event

from .. import __version__
from ..configuration.toml_file import load
from ..errors.settings import InvalidFile
from ..errors.transport import ListenFailed
from ..telemetry.logs import configure_logging

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

logger = logging.getLogger(__name__)

T = TypeVar('T')

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def parse_settings(program: str, description: str, cls: type[T]) -> T:
    """Return the settings from the file named on the command line; set up logs.

    If the file is invalid, prints every finding and exits with status 2.
    """
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument('--version', action='version', version=__version__)
    parser.add_argument(
        '--settings',
        required=True,
        type=Path,
        metavar='FILE',
        help='TOML file with the settings; see docs/settings.md',
    )
    args = parser.parse_args()
    try:
        cfg = load(args.settings, cls)
    except InvalidFile as exc:
        print(exc, file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from exc
    configure_logging(program, cfg.name, cfg.log_level)
    return cfg


@contextlib.contextmanager
def starting() -> Iterator[None]:
    """Exit with one log line instead of a traceback on `ListenFailed`."""
    try:
        yield
    except ListenFailed as exc:
        logger.error(
            'start_failed', extra={'address': exc.address, 'reason': exc.reason}
        )
        raise SystemExit(EXIT_FAILED) from exc


def run_until_stopped(stop: Callable[[], None]) -> None:
    """Wait for SIGTERM or SIGINT, then stop gracefully."""
    stopped = gevent.event.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, stopped.set)
    stopped.wait()
    stop()
