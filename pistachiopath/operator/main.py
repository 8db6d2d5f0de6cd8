"""Program `pistachiopath`."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import sys
from pathlib import Path

from .. import __version__
from ..errors.base import PistachiopathError
from ..errors.settings import InvalidFile
from ..telemetry.logs import configure_logging
from ..util.program import EXIT_FAILED, EXIT_USAGE
from . import commands


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='pistachiopath',
        description='Configure an installation and show its state.',
    )
    parser.add_argument('--version', action='version', version=__version__)
    subparsers = parser.add_subparsers(required=True, metavar='COMMAND')

    blank = subparsers.add_parser('questionnaire', help='print a blank questionnaire')
    blank.set_defaults(run=commands.print_questionnaire)

    key = subparsers.add_parser(
        'make-key', help='print a new customer key and its SHA-256'
    )
    key.set_defaults(run=commands.make_key)

    generate = subparsers.add_parser(
        'generate', help='generate a configuration from an answered questionnaire'
    )
    generate.add_argument('answers', type=Path)
    generate.add_argument('--output', default='configuration.json')
    generate.set_defaults(run=commands.generate_configuration)

    accept = subparsers.add_parser(
        'accept',
        help='put a configuration in force and wait until all processes have it',
    )
    accept.add_argument('configuration', type=Path)
    accept.add_argument('--settings', type=Path, required=True)
    accept.add_argument(
        '--expected',
        type=int,
        help='revision that this configuration replaces (default: the one in force)',
    )
    accept.set_defaults(run=commands.accept)

    status = subparsers.add_parser(
        'status',
        help='show replicas, members, targets and the revision of each process',
    )
    status.add_argument('--settings', type=Path, required=True)
    status.add_argument('--json', action='store_true')
    status.set_defaults(run=commands.status)
    return parser


def main() -> None:
    """Run one command; exit with status 0, 1 (failed) or 2 (invalid usage)."""
    args = _parser().parse_args()
    configure_logging('pistachiopath', 'operator', 'warning')
    try:
        args.run(args)
    except InvalidFile as exc:
        print(exc, file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from exc
    except (PistachiopathError, OSError, ValueError) as exc:
        print(f'failed: {exc}', file=sys.stderr)
        raise SystemExit(EXIT_FAILED) from exc


if __name__ == '__main__':
    main()
