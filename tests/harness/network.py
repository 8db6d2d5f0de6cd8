"""A seeded message layer in virtual time."""

from __future__ import annotations

import heapq
import random


class VirtualNetwork:
    """Delays, duplicates, reorders and drops messages.

    Delays are in seconds.  Cuts and holds are sets of ordered pairs of node
    names: a cut drops messages, a hold delivers them after `release`.
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
        self._sequence = 0
        self._last_arrivals: dict[tuple[str, str], float] = {}

    def at(self, when: float, action):
        """Schedule an action."""
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, action))

    def send(self, sender: str, to: str, deliver):
        """Schedule the delivery of a message, unless it is held or dropped."""
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
                # Without reordering, delivery between two nodes is in order, as in TCP.
                arrival = max(arrival, self._last_arrivals.get((sender, to), 0.0))
                self._last_arrivals[(sender, to)] = arrival
            self.at(arrival, lambda: self._deliver_unless_cut(sender, to, deliver))

    def release(self):
        """Send the held messages in the order in which they were sent."""
        self.holds.clear()
        held, self._held = self._held, []
        for sender, to, deliver in held:
            self.send(sender, to, deliver)

    def _deliver_unless_cut(self, sender, to, deliver):
        if (sender, to) not in self.cuts:
            deliver()

    def run_until(self, end: float):
        """Run all actions scheduled up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end
