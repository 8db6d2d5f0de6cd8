"""Programs import few modules, because they can't serve until that is done."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

PROGRAM = """
import sys
import pistachiopath.platform.__main__
from pistachiopath.platform.programs import program_class
program_class(sys.argv[1])
print(' '.join(sys.modules))
"""
# Importing any of these needlessly delays a program's start by 2 to 250 ms.
UNUSED_BY_ALL = (
    'bottle',
    'cattrs',
    'gevent.monkey',
    'gevent.pywsgi',
    'hdrh.histogram',
    'importlib.metadata',
    'opentelemetry',
    'urllib3',
    'pistachiopath.claims.claim',
    'pistachiopath.messages.claims',
    'pistachiopath.messages.dispatch',
    'pistachiopath.messages.membership',
)
UNUSED_BY_PROGRAM = {
    'agent': ('pistachiopath.relay.entry', 'pistachiopath.document.shell'),
    'control': ('pistachiopath.relay.entry', 'pistachiopath.grants.shell'),
    'entry': (
        'pistachiopath.directory.announcer',
        'pistachiopath.document.shell',
        'pistachiopath.messages.replication',
    ),
}


@pytest.mark.parametrize('program', sorted(UNUSED_BY_PROGRAM))
def test_program_imports_no_unused_modules(program):
    result = subprocess.run(
        [sys.executable, '-c', PROGRAM, program],
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    imported = set(result.stdout.split())
    assert 'pistachiopath.platform.main' in imported
    assert imported.isdisjoint(UNUSED_BY_ALL + UNUSED_BY_PROGRAM[program])


def test_build_compiles_the_package_for_a_read_only_folder():
    deploy = tomllib.loads(Path('deploy/system.toml').read_text())
    assert deploy['build'].endswith('&& python3 -m compileall -q pistachiopath')
