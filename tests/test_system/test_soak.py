from __future__ import annotations

import subprocess
import sys

SEED = 9
LENGTH_S = 25


def test_programs_bear_a_short_soak(tmp_path):
    # The plan leaves out the kinds of faults in tools.soak.fault_kind.OPEN_KINDS.
    command = [sys.executable, '-m', 'tools.soak', '--seeds', str(SEED)]
    options = ['--length', str(LENGTH_S), '--logs', str(tmp_path)]
    soak = subprocess.run(
        command + options, capture_output=True, text=True, check=False
    )
    print(soak.stdout, soak.stderr)
    assert soak.returncode == 0
