from __future__ import annotations

import os
import select
import signal
import subprocess
import sys

# Starts a program under a guard, prints its id, and waits to be killed.
SOAK = """
import subprocess, sys, time
from tools.soak.guard import Guard
guard = Guard()
program = subprocess.Popen([sys.executable, '-c', 'import time; time.sleep(600)'],
                           stdout=subprocess.PIPE, process_group=0)
guard.add(program.pid)
print(program.pid, flush=True)
time.sleep(600)
"""


def wait_for_end(pid):
    # A pidfd becomes readable when the process has ended.
    try:
        fd = os.pidfd_open(pid)
    except ProcessLookupError:
        return True
    try:
        return bool(select.select([fd], [], [], 20.0)[0])
    finally:
        os.close(fd)


def test_programs_end_with_a_soak_that_is_killed():
    soak = subprocess.Popen([sys.executable, '-c', SOAK], stdout=subprocess.PIPE)
    pid = int(soak.stdout.readline())
    soak.send_signal(signal.SIGKILL)
    soak.wait()
    assert wait_for_end(pid)
