"""Compact encoding of a target's learned speeds in a view."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..messages.membership import Heartbeat, Rate

# Slot, position among the rates of the description, prefill and decode speeds in
# tokens per second as IEEE single floats.
_LAYOUT = struct.Struct('<HBff')
RATE_BYTES = _LAYOUT.size


def pack_rates(slot: int, rates: tuple[Rate, ...]) -> bytes:
    """Return the encoded rates of a slot, `RATE_BYTES` each."""
    return b''.join(
        _LAYOUT.pack(slot, position, rate.prefill, rate.decode)
        for position, rate in enumerate(rates)
    )


def apply_rates(data: bytes, reports: dict[int, Heartbeat]) -> None:
    """Update the reports of the slots with packed rates.

    Slots and positions without a description are skipped, as is an incomplete
    rate at the end.
    """
    complete_bytes = len(data) - len(data) % RATE_BYTES
    for slot, position, prefill, decode in _LAYOUT.iter_unpack(data[:complete_bytes]):
        report = reports.get(slot)
        if report is None or position >= len(report.rates):
            continue
        rates = list(report.rates)
        rates[position] = attrs.evolve(rates[position], prefill=prefill, decode=decode)
        reports[slot] = attrs.evolve(report, rates=tuple(rates))
