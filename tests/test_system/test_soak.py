from __future__ import annotations

import subprocess
import sys

# The plans leave out the kinds of faults in tools.soak.fault_kind.OPEN_KINDS.
SEED = 9
LENGTH_S = 25
RELEASE_SEED = 4
RELEASE_LENGTH_S = 20
UNREPORTED_SEED = 2
UNREPORTED_LENGTH_S = 16
LOST_SEEDS_SEED = 1
LOST_SEEDS_LENGTH_S = 12


def run_soak(folder, seed, length_s, *options):
    """Return the exit code of a soak of one seed, whose report is printed."""
    command = [sys.executable, '-m', 'tools.soak', '--seeds', str(seed)]
    command += ['--length', str(length_s), '--logs', str(folder), *options]
    soak = subprocess.run(command, capture_output=True, text=True, check=False)
    print(soak.stdout, soak.stderr)
    return soak.returncode


def test_programs_bear_a_short_soak(tmp_path):
    assert run_soak(tmp_path, SEED, LENGTH_S) == 0


def test_no_stream_is_joined_of_two_versions_in_releases_while_entries_stand_still(
    tmp_path,
):
    only = ('--only', 'release_in_pause')
    assert run_soak(tmp_path, RELEASE_SEED, RELEASE_LENGTH_S, *only) == 0


def test_no_stream_is_joined_of_two_versions_while_first_reports_are_late(tmp_path):
    only = ('--only', 'release_unreported')
    assert run_soak(tmp_path, UNREPORTED_SEED, UNREPORTED_LENGTH_S, *only) == 0


def test_seeds_that_lost_their_logs_together_are_in_the_group_again(tmp_path):
    only = ('--only', 'seeds_lost')
    assert run_soak(tmp_path, LOST_SEEDS_SEED, LOST_SEEDS_LENGTH_S, *only) == 0
