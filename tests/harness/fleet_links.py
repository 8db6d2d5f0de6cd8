"""Links in virtual time that carry a limited number of bytes a second."""

from __future__ import annotations

from collections import deque

import attrs

from .network import VirtualNetwork

CHUNK_BYTES = 64 * 1024
# What the sockets at both ends hold of one link.
WINDOW_BYTES = 256 * 1024
LATENCY_S = 0.001


@attrs.define(kw_only=True)
class _Frame:
    """A message on a link, with the bytes that are not sent and not arrived yet."""

    unsent: int
    missing: int
    deliver: object


@attrs.define(kw_only=True)
class _Link:
    """Frames from one node to another, in order."""

    sender: str
    to: str
    frames: deque = attrs.Factory(deque)
    arriving: deque = attrs.Factory(deque)
    in_window: int = 0

    @property
    def queued_bytes(self):
        return sum(frame.unsent for frame in self.frames)


class FleetNetwork(VirtualNetwork):
    """Delivers messages as fast as the slower of both nodes allows.

    A node's links share its rate in turns of `CHUNK_BYTES`, as connections
    do.  `rates` holds the bytes a second of nodes, which are the same in both
    directions.
    """

    def __init__(self, *, seed: int):
        super().__init__(seed=seed)
        self.rates = {}
        self.bytes_by_type = {}
        self._links = {}
        self._turns = {}
        self._busy_senders = set()
        self._inbound = {}
        self._busy_receivers = set()

    def transfer(self, sender: str, to: str, size: int, deliver):
        """Send a message of that many bytes."""
        link = self._links.setdefault((sender, to), _Link(sender=sender, to=to))
        link.frames.append(_Frame(unsent=size, missing=size, deliver=deliver))
        turns = self._turns.setdefault(sender, deque())
        if link not in turns:
            turns.append(link)
        self._send_next(sender)

    def queued_bytes(self, sender: str) -> int:
        """Return the bytes that wait in a node for the links to others."""
        return sum(
            link.queued_bytes for link in self._links.values() if link.sender == sender
        )

    def _send_next(self, sender):
        if sender in self._busy_senders:
            return
        link = self._take_turn(self._turns[sender])
        if link is None:
            return
        frame = link.frames[0]
        size = min(CHUNK_BYTES, frame.unsent)
        frame.unsent -= size
        if not frame.unsent:
            link.arriving.append(link.frames.popleft())
            if not link.frames:
                self._turns[sender].remove(link)
        link.in_window += size
        self._busy_senders.add(sender)
        self.at(self.now + size / self.rates[sender], lambda: self._sent(link, size))

    @staticmethod
    def _take_turn(turns):
        for _ in range(len(turns)):
            turns.rotate(-1)
            if turns[-1].in_window < WINDOW_BYTES:
                return turns[-1]
        return None

    def _sent(self, link, size):
        self._busy_senders.discard(link.sender)
        self.at(self.now + LATENCY_S, lambda: self._arrive(link, size))
        self._send_next(link.sender)

    def _arrive(self, link, size):
        self._inbound.setdefault(link.to, deque()).append((link, size))
        self._receive_next(link.to)

    def _receive_next(self, to):
        if to in self._busy_receivers or not self._inbound[to]:
            return
        link, size = self._inbound[to].popleft()
        self._busy_receivers.add(to)
        self.at(self.now + size / self.rates[to], lambda: self._received(link, size))

    def _received(self, link, size):
        self._busy_receivers.discard(link.to)
        link.in_window -= size
        self._deliver_complete(link, size)
        self._receive_next(link.to)
        self._send_next(link.sender)

    def _deliver_complete(self, link, size):
        while size:
            frame = (*link.arriving, *list(link.frames)[:1])[0]
            part = min(size, frame.missing)
            frame.missing -= part
            size -= part
            if frame.missing:
                continue
            link.arriving.popleft()
            if (link.sender, link.to) not in self.cuts:
                frame.deliver()
