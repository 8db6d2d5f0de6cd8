"""Seeded message layer over virtual time."""

from __future__ import annotations

import heapq
import random


class VirtualNetwork:
    """Delivers messages late, twice, out of order or not at all.

    Delays are in seconds.  Cuts and holds are sets of ordered pairs of node
    names: a cut loses what is sent, a hold delivers it after the release.
    """

    def __init__(self, *, seed: int):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.drop = 0.0
        self.duplicate = 0.0
        self.reorder = 0.0
        self.cuts: set[tuple[str, str]] = set()
        self.holds: set[tuple[str, str]] = set()
        self._held = []
        self._events = []
        self._order = 0
        self._last: dict[tuple[str, str], float] = {}

    def at(self, when: float, action):
        """Run an action at a time."""
        self._order += 1
        heapq.heappush(self._events, (when, self._order, action))

    def send(self, sender: str, to: str, deliver):
        """Deliver a message some time later, or not."""
        if (sender, to) in self.holds:
            self._held.append((sender, to, deliver))
            return
        if self.rng.random() < self.drop:
            return
        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            arrival = self.now + self.rng.uniform(0.0005, 0.002)
            if self.rng.random() < self.reorder:
                arrival += self.rng.uniform(0.0, 0.5)
            else:
                # Without reordering a pair of nodes has a stream's order.
                arrival = max(arrival, self._last.get((sender, to), 0.0))
                self._last[(sender, to)] = arrival
            self.at(arrival, lambda: self._arrive(sender, to, deliver))

    def release(self):
        """Send what was held, in its order."""
        self.holds.clear()
        held, self._held = self._held, []
        for sender, to, deliver in held:
            self.send(sender, to, deliver)

    def _arrive(self, sender, to, deliver):
        if (sender, to) not in self.cuts:
            deliver()

    def run_until(self, end: float):
        """Run all actions up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end
