"""Calls a function after a delay that begins now."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable


def call_later(
    delay_s: float, function: Callable[..., None], *args: object
) -> gevent.Greenlet:
    """Call a function in a greenlet of its own, `delay_s` from now at the earliest.

    `gevent.spawn_later` reckons from the time at which the event loop last read its
    clock, so after a long step, or a pause of the process, it calls too early.
    """
    return gevent.spawn(_sleep_and_call, delay_s, function, args)


def _sleep_and_call(
    delay_s: float, function: Callable[..., None], args: tuple[object, ...]
) -> None:
    gevent.sleep(delay_s)
    function(*args)
