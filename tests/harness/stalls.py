"""A pytest plugin that stops the process at random while a test runs.

`pytest -p tests.harness.stalls --stall-seed 1 tests/test_relay` shows which tests and
which code take a pause of their own process for the silence of another.
"""

from __future__ import annotations

import random
import signal
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pytest

MIN_GAP_S = 0.005
MIN_STALL_S = 0.02


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the seed of the stalls, their longest length and the longest gap."""
    group = parser.getgroup('stalls')
    group.addoption('--stall-seed', default='1')
    group.addoption('--stall-gap-s', type=float, default=0.5)
    group.addoption('--stall-length-s', type=float, default=0.4)


def pytest_configure(config: pytest.Config) -> None:
    """Register the stalls with this process."""
    config.pluginmanager.register(Stalls(config.option))


class Stalls:
    """Stalls whose times follow from the seed and from the name of the test."""

    def __init__(self, option):
        self._option = option
        self._random = random.Random()

    def pytest_runtest_call(self, item: pytest.Item) -> None:
        """Begin to stall."""
        self._random.seed(f'{self._option.stall_seed} {item.nodeid}')
        signal.signal(signal.SIGALRM, self._stall)
        self._set_timer()

    def pytest_runtest_teardown(self) -> None:
        """Stop stalling."""
        signal.setitimer(signal.ITIMER_REAL, 0)

    def _stall(self, *_args: object) -> None:
        time.sleep(self._random.uniform(MIN_STALL_S, self._option.stall_length_s))
        self._set_timer()

    def _set_timer(self) -> None:
        gap_s = self._random.uniform(MIN_GAP_S, self._option.stall_gap_s)
        signal.setitimer(signal.ITIMER_REAL, gap_s)
