"""Greenlets that their process can't do without."""

from __future__ import annotations

import logging
import os
from typing import TYPE_CHECKING

import gevent

from .program import EXIT_FAILED

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)


def spawn_essential(name: str, run: Callable[[], None]) -> gevent.Greenlet:
    """Call a function in a new greenlet; the process ends if it raises.

    Whoever started the process then starts it again.  If it stayed up instead,
    it would go on answering without the work of that greenlet.  A greenlet that
    is killed, or whose function returns, ends alone.
    """
    return gevent.spawn(_run_or_exit, name, run)


def _run_or_exit(name: str, run: Callable[[], None]) -> None:
    try:
        run()
    except gevent.GreenletExit:
        raise
    except BaseException:
        logger.critical('loop_ended', exc_info=True, extra={'loop': name})
        # SystemExit would first have to reach the main greenlet, and would let
        # exit handlers run on state that may be half changed.
        os._exit(EXIT_FAILED)
