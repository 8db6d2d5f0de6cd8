"""An entry as a node of the virtual network."""

from __future__ import annotations

import random

from pistachiopath.effects import Send
from pistachiopath.entry.core import CallerEffect, ConfigurationInForce, EntryCore

from .chooser import ScenarioChooser, WatchedChooser
from .nodes import Node


class EntryNode(Node):
    """An entry and the calls that it is serving."""

    def __init__(self, *, world, name: str, controls):
        super().__init__(world=world, name=name)
        self._controls = controls

    def boot(self):
        self._calls = {}
        self.draining = False
        self.core = EntryCore(
            name=self.name,
            controls=self._controls,
            rng=random.Random(self.world.rng.getrandbits(64)),
            make_chooser=self._make_chooser,
        )

    def _make_chooser(self, targets, rng):
        if self.world.chooser is ScenarioChooser:
            # It refuses at random, whatever the load, so refusals aren't checked.
            refuses = self.world.early_refusals
            return ScenarioChooser(targets=targets, rng=rng, refuses=refuses)
        chooser = self.world.chooser(targets=targets, rng=rng)
        return WatchedChooser(
            chooser=chooser,
            on_overload=lambda sub: self.world.checkers.promised_refused(
                self.name, sub
            ),
        )

    def kill(self):
        calls = list(self._calls.values())
        super().kill()
        self._calls = {}
        for call in calls:
            self.world.break_connection(call)
        # Calls that were deferred while the process was frozen are lost too.
        for call in self.world.calls:
            if call.entry == self.name and call.outcome is None:
                self.world.break_connection(call)

    def submit(self, call):
        number, effects = self.core.submit(call.submission(self.now), self.now)
        self._calls[number] = call
        self._carry_out(effects)

    def receive(self, sender, call, body):
        self._carry_out(self.core.receive(sender, call, body, self.now))

    def tick(self):
        self._carry_out(self.core.tick(self.now))
        if self.draining and not self._calls:
            self.kill()

    def depart(self):
        """Begin a planned stop: accept no new calls and finish the present ones."""
        self.draining = True

    def peer_lost(self, name: str):
        self._carry_out(self.core.link_lost(name, self.now))

    def _carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, Send):
                self.send(effect)
            elif isinstance(effect, CallerEffect):
                self._to_caller(effect)
            elif isinstance(effect, ConfigurationInForce):
                self.world.checkers.in_force(self, effect)

    def _to_caller(self, effect):
        call = self._calls.get(effect.flow)
        if call is not None and self.world.to_caller(call, effect.effect):
            del self._calls[effect.flow]
