"""Measures the cost of claims in one group of three control replicas."""

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
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.transport.handshake import ROLE_NODE, Identity
from pistachiopath.transport.network import Network
from pistachiopath.util.loop_failures import LoopFailures
from tools.cluster import SECRET, Cluster
from tools.probe import cpu_s, rss_mb


class CommandClient:
    """Sends commands to the leader and waits for the answers."""

    def __init__(self, *, controls):
        self.network = Network(
            identity=Identity(
                name=f'asker-{os.getpid()}',
                role=ROLE_NODE,
                secrets={ROLE_NODE: SECRET.encode()},
            ),
            on_message=self._on_message,
            on_lost=lambda peer: None,
            failures=LoopFailures(metrics=Metrics()),
        )
        self._leader = LeaderClient(addresses=tuple(controls), rng=random.Random(1))
        self._answers = {}
        self._last_call = 0
        gevent.spawn(self._tick)

    def ask(self, body):
        """Send a command; return the answer."""
        self._last_call += 1
        call = self._last_call
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


def bind_and_finish(client, incarnation, bind_s):
    """Bind and finish one request; append the seconds of the bind to `bind_s`."""
    cmd = bind(incarnation)
    started_at = time.monotonic()
    reply = client.ask(cmd)
    bind_s.append(time.monotonic() - started_at)
    item = FinishItem(
        key=cmd.key, binding=reply.binding, outcome=OutcomeRecord(kind='completed')
    )
    client.ask(Finish(items=(item,)))


def main(concurrencies=(1, 64), number=1500):
    """Return figures by number of concurrent requests."""
    figures = {}
    with tempfile.TemporaryDirectory() as name, Cluster(folder=Path(name)) as cluster:
        cluster.start_controls()
        client = CommandClient(controls=cluster.controls)
        incarnation = client.ask(Register(target='t', nonce=b'n')).incarnation
        pids = [cluster.processes[f'control-{n}'].pid for n in range(3)]
        for concurrency in concurrencies:
            total = 300 if concurrency == 1 else number
            bind_s = []
            cpu_before_s = [cpu_s(pid) for pid in pids]
            memory_before_mb = [rss_mb(pid) for pid in pids]
            started_at = time.monotonic()
            pool = gevent.pool.Pool(concurrency)
            for _ in range(total):
                pool.spawn(bind_and_finish, client, incarnation, bind_s)
            pool.join()
            elapsed_s = time.monotonic() - started_at
            cpu_used_s = [cpu_s(p) - b for p, b in zip(pids, cpu_before_s, strict=True)]
            memory_growth_mb = [
                rss_mb(p) - m for p, m in zip(pids, memory_before_mb, strict=True)
            ]
            figures[concurrency] = {
                'claims_per_s': total / elapsed_s,
                'bind_p50_ms': quantile(bind_s, 0.5) * 1000,
                'bind_p95_ms': quantile(bind_s, 0.95) * 1000,
                'leader_cpu_us': max(cpu_used_s) / total * 1e6,
                'follower_cpu_us': min(cpu_used_s) / total * 1e6,
                'memory_bytes': max(memory_growth_mb) / total * 1024 * 1024,
            }
    return figures


if __name__ == '__main__':
    for concurrency, figures in main().items():
        print(concurrency, {k: round(v, 2) for k, v in figures.items()})
