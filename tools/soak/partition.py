"""A cut through the connections between programs."""

from __future__ import annotations

import gevent.event


class Partition:
    """Two groups of programs between which nothing passes for some time.

    `names` holds the programs by the addresses that they advertise.  Whoever opens a
    connection states its own address in its first message, which tells the two ends.
    """

    def __init__(self, *, names: dict[str, str]) -> None:
        self._names = names
        self._cut_off: set[str] = set()
        self._whole = gevent.event.Event()
        self._whole.set()

    def begin(self, cut_off: set[str]) -> None:
        """Let nothing pass between these programs and all others."""
        self._cut_off = cut_off
        self._whole.clear()

    def end(self) -> None:
        """Let everything pass."""
        self._cut_off = set()
        self._whole.set()

    def sender(self, first: bytes) -> str:
        """Return the program that a connection's first message names, or nothing."""
        for address, name in self._names.items():
            if address.encode() in first:
                return name
        return ''

    def wait(self, sender: str, address: str) -> None:
        """Wait while a program is cut off from the one at an address."""
        receiver = self._names[address]
        if (sender in self._cut_off) != (receiver in self._cut_off):
            self._whole.wait()
