"""The product's control and agent cores as nodes of the virtual network."""

from __future__ import annotations

import random

from pistachiopath.agent.core import AgentCore
from pistachiopath.configuration.configuration import ModelPlacement
from pistachiopath.control.core import ControlCore
from pistachiopath.effects import Send
from pistachiopath.fencing.order_gate import PassOrder
from pistachiopath.gate.effects import StartRun, StopRun
from pistachiopath.gate.limits import GateLimits
from pistachiopath.replication.effects import STORAGE_EFFECTS

from .disk import Disk

TICK_S = 0.05
SYNC_S = 0.0005
# Snapshots take several ticks, so that commands and faults occur during them.
SNAPSHOT_STEP_CLAIMS = 3


def placements_of(content: bytes):
    """Read a scenario's configuration: its content is the version of the model."""
    if not content:
        return ()
    return (ModelPlacement(name='m', version=content.decode(), replicas=2),)


class Node:
    """A process that can be killed, frozen and restarted."""

    def __init__(self, *, world, name: str):
        self.world = world
        self.name = name
        self.alive = False
        self.frozen = False
        self._generation = 0
        self._deferred = []
        self.clock_offset = world.rng.uniform(0.0, 1000.0)

    @property
    def now(self) -> float:
        return self.world.net.now + self.clock_offset

    @property
    def time_ms(self) -> int:
        return int((1_800_000_000 + self.world.net.now) * 1000)

    def start(self):
        self.alive = True
        self._generation += 1
        self.boot()
        self._tick(self._generation)

    def kill(self):
        self.alive = False
        self.frozen = False
        self._deferred = []
        self.world.link_lost(self.name)

    def freeze(self):
        self.frozen = True

    def thaw(self):
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for action in deferred:
            action()

    def run_or_defer(self, action):
        """Run an action now, or after `thaw` if the process is frozen."""
        if not self.alive:
            return
        if self.frozen:
            self._deferred.append(action)
        else:
            action()

    def deliver(self, sender: str, call: int, body):
        self.run_or_defer(lambda: self.receive(sender, call, body))

    def send(self, effect: Send):
        self.world.send(self.name, effect)

    def _tick(self, generation: int):
        if generation != self._generation or not self.alive:
            return
        if not self.frozen:
            self.tick()
        self.world.net.at(self.world.net.now + TICK_S, lambda: self._tick(generation))


class ControlNode(Node):
    """A control replica with a disk that takes time to sync."""

    def __init__(self, *, world, name: str, addresses, snapshot_entries: int):
        super().__init__(world=world, name=name)
        self._addresses = addresses
        self._snapshot_entries = snapshot_entries
        self._disks = 0
        self.skew_ms = world.rng.randint(-200, 200)
        self.lose_disk()

    def lose_disk(self):
        self._disks += 1
        self.disk = Disk(member=f'{self.name}-disk{self._disks}')

    def boot(self):
        self._inbox = []
        self._syncing = False
        self.core = ControlCore(
            address=self.name,
            addresses=self._addresses,
            persisted=self.disk.load(),
            rng=random.Random(self.world.rng.getrandbits(64)),
            now=self.now,
            snapshot_entries=self._snapshot_entries,
            snapshot_step=SNAPSHOT_STEP_CLAIMS,
            read_placements=placements_of,
        )

    def kill(self):
        super().kill()
        self.disk.crash()

    def receive(self, sender, call, body):
        self._inbox.append((sender, call, body))
        self._process_inbox(tick=False)

    def tick(self):
        self._process_inbox(tick=True)
        self.world.checkers.control_state(self)

    def _process_inbox(self, *, tick: bool):
        if self._syncing:
            return
        time_ms = self.time_ms + self.skew_ms
        batch, self._inbox = self._inbox, []
        sends = []
        for sender, call, body in batch:
            effects = self.core.receive(sender, call, body, self.now, time_ms)
            self._store(effects, sends)
        if tick:
            self._store(self.core.tick(self.now, time_ms), sends)
        self._store(self.core.flush(self.now), sends)
        self._syncing = True
        generation = self._generation
        self.world.net.at(
            self.world.net.now + SYNC_S, lambda: self._sync(generation, sends)
        )

    def _sync(self, generation: int, sends):
        if generation != self._generation or not self.alive:
            return
        if self.frozen:
            self._deferred.append(lambda: self._sync(generation, sends))
            return
        self.disk.sync()
        self._syncing = False
        self._store(self.core.synced(self.now), sends)
        self.disk.sync()
        self.disk.check_holds(self.core.group.replica.log)
        for effect in sends:
            self.send(effect)
        if self._inbox:
            self._process_inbox(tick=False)

    def _store(self, effects, sends):
        for effect in effects:
            if isinstance(effect, Send):
                self.world.checkers.control_replies(self, effect)
                sends.append(effect)
            elif isinstance(effect, STORAGE_EFFECTS):
                self.disk.write(effect)


class AgentNode(Node):
    """An agent; its engine keeps running when the agent is killed."""

    def __init__(self, *, world, name: str, controls, window: int):
        super().__init__(world=world, name=name)
        self._controls = controls
        self._window = window
        self.departed_at = None

    def boot(self):
        self.departed_at = None
        self.core = AgentCore(
            target=self.name,
            address=self.name,
            zone='dc0',
            models=('m',),
            services=(),
            controls=self._controls,
            rng=random.Random(self.world.rng.getrandbits(64)),
            limits=GateLimits(window=self._window, max_queued=6),
        )

    def receive(self, sender, call, body):
        self._carry_out(self.core.receive(sender, call, body, self.now))

    def tick(self):
        self.core.loaded = (self.world.loaded_model(self),)
        self._carry_out(self.core.tick(self.now))
        if self.core.is_drained:
            self.kill()

    def depart(self):
        self.departed_at = self.world.net.now
        self._carry_out(self.core.depart(self.now))

    def _carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, Send):
                self.world.checkers.agent_sends(self, effect)
                self.send(effect)
            elif isinstance(effect, StartRun):
                self.world.engine_start(self, effect.run)
            elif isinstance(effect, StopRun):
                self.world.engine_stop(self, effect.run)
            elif isinstance(effect, PassOrder):
                self.world.engine_order(self, effect.order)

    def from_engine(self, method, *args):
        effects = method(*args, self.now)
        self._carry_out(self.core.handle_engine_effects(effects))

    def engine_crashed(self, run):
        self._carry_out(self.core.engine_crashed(run, self.now))
