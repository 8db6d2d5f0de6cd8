"""Compact form of a target's learned speeds in a view."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..messages.membership import Heartbeat, Rate

# Slot, place among the rates of the description, prefill and decode in tokens
# a second as IEEE floats.
_LAYOUT = struct.Struct('<HBff')
RATE_BYTES = _LAYOUT.size


def pack_rates(slot: int, rates: tuple[Rate, ...]) -> bytes:
    """Return the `RATE_BYTES` of each rate."""
    return b''.join(
        _LAYOUT.pack(slot, place, rate.prefill, rate.decode)
        for place, rate in enumerate(rates)
    )


def apply_rates(data: bytes, reports: dict[int, Heartbeat]) -> None:
    """Put packed rates into the reports of their slots.

    Slots and places that no description has are passed over, as is a torn end.
    """
    whole = len(data) - len(data) % RATE_BYTES
    for slot, place, prefill, decode in _LAYOUT.iter_unpack(data[:whole]):
        report = reports.get(slot)
        if report is None or place >= len(report.rates):
            continue
        rates = list(report.rates)
        rates[place] = attrs.evolve(rates[place], prefill=prefill, decode=decode)
        reports[slot] = attrs.evolve(report, rates=tuple(rates))
