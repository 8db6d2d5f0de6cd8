"""A program of the platform that was stopped tells so in its log."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time

import pytest

from tools.free_address import free_address

SETTINGS = """
name = 'n'
role = 'agent'
zone = 'a'
ip = '127.0.0.1'
ports = [{port}, {port}]
"""
STOPPED_S = 0.6
STOPS = 4


@pytest.fixture
def agent(tmp_path):
    port = free_address().rpartition(':')[2]
    path = tmp_path / 's.toml'
    path.write_text(SETTINGS.format(port=port))
    process = subprocess.Popen(
        [
            *(sys.executable, '-m', 'pistachiopath.platform', 'agent'),
            *('--settings', str(path)),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    yield process
    process.kill()
    process.communicate()


def test_a_stopped_program_logs_its_standstill(agent):
    assert ' msg=starting ' in agent.stdout.readline()
    # The first may come while it still starts.
    for _ in range(STOPS):
        time.sleep(1.0)
        os.kill(agent.pid, signal.SIGSTOP)
        time.sleep(STOPPED_S)
        os.kill(agent.pid, signal.SIGCONT)
    time.sleep(0.5)
    agent.terminate()
    log, _ = agent.communicate(timeout=30)
    assert ' msg=standstill ' in log
