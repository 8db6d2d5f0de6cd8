"""Command line of the platform's programs."""

from __future__ import annotations

import argparse
import logging
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import gevent
import gevent.event

from .. import __version__
from ..configuration.toml_file import load
from ..errors.settings import InvalidFile
from ..telemetry.bounded_stream import BoundedStream
from ..telemetry.logs import configure_logging
from ..telemetry.metrics import Metrics
from ..util.program import EXIT_USAGE, starting
from .early import SETTINGS_VARIABLE
from .metrics_page import metrics_server
from .programs import PROGRAMS, program_class
from .settings import PlatformSettings

if TYPE_CHECKING:
    from .program import Program

logger = logging.getLogger(__name__)

SETTINGS_POLL_S = 0.5


def main() -> None:
    """Run one program until it is stopped."""
    args = _parser().parse_args()
    path = args.settings or Path(os.environ.get(SETTINGS_VARIABLE, ''))
    cfg = _load(path)
    if args.check:
        print(cfg)
        return
    stream = BoundedStream(fd=sys.stdout.fileno())
    configure_logging(f'pistachiopath-{args.program}', cfg.name, cfg.log_level, stream)
    logger.info('starting', extra={'role': cfg.role, 'version': __version__})
    metrics = Metrics()
    stop_requested = _handle_stop_signals()
    with starting():
        if args.metrics_port:
            metrics_server(f'{cfg.ip}:{args.metrics_port}', metrics).start()
        program = program_class(args.program)(cfg, metrics)
        program.start()
    gevent.spawn(_watch_settings, path, cfg, program)
    stop_requested.wait()
    logger.info('stopping', extra={'role': cfg.role})
    program.stop()
    logger.info('stopped', extra={'role': cfg.role})


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m pistachiopath.platform',
        description='Runs one program of the system on the platform.',
    )
    parser.add_argument('--version', action='version', version=__version__)
    parser.add_argument('program', choices=sorted(PROGRAMS))
    parser.add_argument(
        '--settings',
        type=Path,
        metavar='FILE',
        help=f'TOML file with the settings; by default ${SETTINGS_VARIABLE} names it',
    )
    parser.add_argument(
        '--metrics-port',
        type=int,
        default=0,
        metavar='PORT',
        help='serve counters and histograms at this port; by default nowhere',
    )
    parser.add_argument(
        '--check', action='store_true', help='print the checked settings and exit'
    )
    return parser


def _load(path: Path) -> PlatformSettings:
    try:
        return load(path, PlatformSettings)
    except InvalidFile as exc:
        print(exc, file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from exc


def _handle_stop_signals() -> gevent.event.Event:
    """Return an event that the first SIGTERM or SIGINT sets; later ones do nothing."""
    requested = gevent.event.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, requested.set)
    return requested


def _watch_settings(path: Path, cfg: PlatformSettings, program: Program) -> None:
    """Poll the settings file, at once on SIGHUP, and apply changes."""
    changed = gevent.event.Event()
    gevent.signal_handler(signal.SIGHUP, changed.set)
    current = cfg
    while True:
        changed.wait(SETTINGS_POLL_S)
        changed.clear()
        try:
            loaded = load(path, PlatformSettings)
        except InvalidFile as exc:
            logger.warning('settings_unusable', extra={'reason': str(exc)})
            continue
        if loaded != current:
            current = loaded
            logger.info('settings_reloaded', extra={'seeds': ','.join(loaded.seeds)})
            program.reload(loaded)
