from __future__ import annotations

import subprocess
import sys

PROGRAM = """
import gevent
from pistachiopath.telemetry.logs import configure_logging
from pistachiopath.util.essential import spawn_essential

def fail():
    raise RuntimeError('half changed')

configure_logging('p', 'n', 'info')
spawn_essential('replica', fail)
gevent.sleep(20)
print('still up')
"""


def test_a_process_ends_with_the_loop_that_it_needs():
    result = subprocess.run(
        [sys.executable, '-c', PROGRAM],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert result.returncode == 1
    assert result.stdout == ''
    assert 'msg=loop_ended' in result.stderr
    assert 'loop=replica' in result.stderr
    assert 'half changed' in result.stderr
