"""An entry that only follows the control nodes of a simulated network."""

from __future__ import annotations

from pistachiopath.directory.subscriber import Subscriber
from pistachiopath.messages.directory import News

TICK_S = 0.05


class FollowingEntry:
    """An entry by what it holds of the configuration; a restart clears it."""

    def __init__(self, *, world, name, seeds):
        self.world = world
        self.name = name
        self.seeds = seeds
        self._generation = 0
        self.start()

    @property
    def version(self):
        return self.subscriber.version

    @property
    def content(self):
        return self.subscriber.content

    def start(self):
        self._generation += 1
        self.subscriber = Subscriber(is_entry=True, own_address=self.name)
        self.subscriber.set_seeds(self.seeds, self.world.net.now)
        self._tick(self._generation)

    def receive(self, sender, call, body):
        if isinstance(body, News):
            now = self.world.net.now
            self._send_all(self.subscriber.on_news(sender, body, now, call=call))

    def _tick(self, generation):
        if generation != self._generation:
            return
        now = self.world.net.now
        self._send_all(self.subscriber.tick(now))
        self.world.net.at(now + TICK_S, lambda: self._tick(generation))

    def _send_all(self, effects):
        for effect in effects:
            self.world.send(self.name, effect)
