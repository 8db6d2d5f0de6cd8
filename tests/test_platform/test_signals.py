"""Signals that a program gets while it starts or stops."""

from __future__ import annotations

import subprocess
import sys

import pytest

SETTINGS = """
name = 'n'
role = 'agent'
zone = 'a'
ip = '127.0.0.1'
ports = [7600, 7615]
"""

# Runs the package with a program that sends itself signals at certain moments.
PROGRAM = """
import os, runpy, signal, sys
import gevent
from pistachiopath.platform import programs

AT_START, AT_STOP = sys.argv[2].split(','), sys.argv[3].split(',')

def send(names):
    for name in filter(None, names):
        os.kill(os.getpid(), getattr(signal, name))

class Program:
    def __init__(self, cfg, metrics):
        send(AT_START)

    def start(self):
        send(AT_START)
        gevent.spawn_later(0.2, os.kill, os.getpid(), signal.SIGTERM)

    def stop(self):
        send(AT_STOP)
        gevent.sleep(0.2)
        send(AT_STOP)
        gevent.sleep(0.2)
        print('stop completed')

    def reload(self, cfg):
        pass

programs.program_class = lambda name: Program
sys.argv = ['platform', 'agent', '--settings', sys.argv[1]]
runpy.run_module('pistachiopath.platform', run_name='__main__')
"""


@pytest.mark.parametrize(
    ('at_start', 'at_stop'),
    [('SIGHUP', ''), ('SIGTERM', ''), ('', 'SIGTERM,SIGINT'), ('', 'SIGHUP')],
)
def test_signals_during_a_start_or_a_stop_do_no_harm(tmp_path, at_start, at_stop):
    # Regression: either signal ended a program that was starting at once.
    path = tmp_path / 's.toml'
    path.write_text(SETTINGS)
    result = subprocess.run(
        [sys.executable, '-c', PROGRAM, str(path), at_start, at_stop],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert result.returncode == 0, result.stderr
    assert 'stop completed' in result.stdout


# Sends a SIGHUP when the package begins to import its first module.
SIGNALLED_IMPORT = """
import os, runpy, signal, sys

class SendsSignal:
    @staticmethod
    def find_spec(name, path=None, target=None):
        if name == 'pistachiopath.platform.early':
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SendsSignal)
sys.argv = ['platform', 'agent', '--settings', sys.argv[1], '--check']
runpy.run_module('pistachiopath.platform', run_name='__main__')
"""


def test_a_change_of_settings_while_modules_are_imported_ends_no_program(tmp_path):
    path = tmp_path / 's.toml'
    path.write_text(SETTINGS)
    result = subprocess.run(
        [sys.executable, '-c', SIGNALLED_IMPORT, str(path)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert result.returncode == 0, result.stderr
