"""Command line of the platform's programs."""

from __future__ import annotations

import argparse
import logging
import os
import signal
import sys
from pathlib import Path

import gevent
import gevent.event

from .. import __version__
from ..configuration.toml_file import load
from ..errors.settings import InvalidFile
from ..exchange.request_memory import process_memory
from ..telemetry.bounded_stream import BoundedStream
from ..telemetry.logs import configure_logging
from ..telemetry.metrics import Metrics
from ..util.greenlet_errors import report_greenlet_errors
from ..util.hub_watch import HubWatch
from ..util.loop_failures import LoopFailures
from ..util.program import EXIT_USAGE, starting
from ..util.standstill_watch import StandstillWatch
from .early import SETTINGS_VARIABLE
from .metrics_page import metrics_server
from .programs import PROGRAMS, program_class
from .settings import PlatformSettings
from .settings_watch import SettingsWatch

logger = logging.getLogger(__name__)


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
    process_memory.set_budget(cfg.request_memory_bytes)
    metrics = Metrics()
    failures = LoopFailures(metrics=metrics)
    report_greenlet_errors(failures)
    stop_requested = _handle_stop_signals()
    with starting():
        if args.metrics_port:
            metrics_server(f'{cfg.ip}:{args.metrics_port}', metrics).start()
        program = program_class(args.program)(cfg, metrics)
        program.start()
    HubWatch().start()
    StandstillWatch().start()
    SettingsWatch(path=path, cfg=cfg, program=program, failures=failures).start()
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
