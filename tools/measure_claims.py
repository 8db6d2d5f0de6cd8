"""Measures the claims of one group of three control replicas."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import os
import random
import tempfile
import time
from pathlib import Path

import gevent
import gevent.event
import gevent.pool

from pistachiopath.load.report import quantile
from pistachiopath.messages.claims import Bind, Finish, FinishItem, OutcomeRecord
from pistachiopath.messages.membership import Register
from pistachiopath.replication.leader_client import LeaderClient
from pistachiopath.transport.handshake import ROLE_NODE, Identity
from pistachiopath.transport.network import Network
from tools.cluster import SECRET, Cluster
from tools.probe import cpu_s, rss_mb


class Asker:
    """Asks the leader and waits for the answers."""

    def __init__(self, *, controls):
        self.network = Network(
            identity=Identity(
                name=f'asker-{os.getpid()}',
                role=ROLE_NODE,
                secrets={ROLE_NODE: SECRET.encode()},
            ),
            on_message=self._on_message,
            on_lost=lambda peer: None,
        )
        self._leader = LeaderClient(addresses=tuple(controls), rng=random.Random(1))
        self._answers = {}
        self._last = 0
        gevent.spawn(self._tick)

    def ask(self, body):
        """Return the answer to a command."""
        self._last += 1
        call = self._last
        self._answers[call] = gevent.event.AsyncResult()
        self._send(self._leader.ask(call, body, time.monotonic()))
        return self._answers[call].get(timeout=30)

    def _on_message(self, sender, call, body):
        now = time.monotonic()
        final, effects = self._leader.answered(sender, call, body, now)
        self._send(effects)
        if final:
            self._answers.pop(call).set(body)

    def _tick(self):
        while True:
            gevent.sleep(0.05)
            self._send(self._leader.tick(time.monotonic()))

    def _send(self, effects):
        for effect in effects:
            self.network.send(effect.to, effect.call, effect.body)


def bind(incarnation):
    """Return a bind of a new request."""
    return Bind(
        key=os.urandom(16),
        fingerprint=os.urandom(16),
        attempt=os.urandom(8),
        target='t',
        incarnation=incarnation,
        address='127.0.0.1:1',
    )


def claim(asker, incarnation, seconds):
    """Bind and finish one request; note how long the bind took."""
    cmd = bind(incarnation)
    began = time.monotonic()
    reply = asker.ask(cmd)
    seconds.append(time.monotonic() - began)
    item = FinishItem(
        key=cmd.key, binding=reply.binding, outcome=OutcomeRecord(kind='completed')
    )
    asker.ask(Finish(items=(item,)))


def main(waves=(1, 64), number=1500):
    """Return figures by number of requests at a time."""
    figures = {}
    with tempfile.TemporaryDirectory() as name, Cluster(folder=Path(name)) as cluster:
        cluster.start_controls()
        asker = Asker(controls=cluster.controls)
        incarnation = asker.ask(Register(target='t', nonce=b'n')).incarnation
        pids = [cluster.processes[f'control-{n}'].pid for n in range(3)]
        for wave in waves:
            total = 300 if wave == 1 else number
            seconds = []
            before = [cpu_s(pid) for pid in pids]
            memory = [rss_mb(pid) for pid in pids]
            began = time.monotonic()
            pool = gevent.pool.Pool(wave)
            for _ in range(total):
                pool.spawn(claim, asker, incarnation, seconds)
            pool.join()
            took = time.monotonic() - began
            used = [cpu_s(p) - b for p, b in zip(pids, before, strict=True)]
            grown = [rss_mb(p) - m for p, m in zip(pids, memory, strict=True)]
            figures[wave] = {
                'claims_per_s': total / took,
                'bind_p50_ms': quantile(seconds, 0.5) * 1000,
                'bind_p95_ms': quantile(seconds, 0.95) * 1000,
                'leader_cpu_us': max(used) / total * 1e6,
                'follower_cpu_us': min(used) / total * 1e6,
                'memory_bytes': max(grown) / total * 1024 * 1024,
            }
    return figures


if __name__ == '__main__':
    for wave, figures in main().items():
        print(wave, {k: round(v, 2) for k, v in figures.items()})
