"""Operators that accept configurations."""

from __future__ import annotations

import random

from pistachiopath.messages.configuration import Accept, AcceptReply
from pistachiopath.replication.leader_client import LeaderClient


class Operator:
    """An operator that resends a command until it gets a final reply."""

    def __init__(self, *, world, name: str, controls):
        self._world = world
        self.name = name
        self._client = LeaderClient(
            addresses=controls, rng=random.Random(world.rng.getrandbits(64))
        )
        self._commands = {}
        self.answers: dict[str, AcceptReply] = {}

    def accept(self, expected: int, content: bytes):
        call = len(self._commands) + 1
        self._commands[call] = content
        body = Accept(expected=expected, content=content)
        self._send(self._client.ask(call, body, self._world.net.now))
        self._tick(self._world.net.now + 30.0)

    def deliver(self, sender, call, body):
        final, effects = self._client.answered(sender, call, body, self._world.net.now)
        self._send(effects)
        if final:
            content = self._commands[call]
            self.answers[content.decode()] = body
            if body.accepted:
                self._world.checkers.accepted(body.revision, content)

    def _tick(self, end: float):
        now = self._world.net.now
        self._send(self._client.tick(now))
        if now < end:
            self._world.net.at(now + 0.05, lambda: self._tick(end))

    def _send(self, effects):
        for effect in effects:
            self._world.send(self.name, effect)
