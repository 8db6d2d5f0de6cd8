"""One replica writes bytes without end; the entry answers nobody any more."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from common.harness import (
    KEY,
    REPLICAS_PATH,
    CannotRun,
    Operator,
    call,
    document,
    route,
    run_case,
)

KIND = os.environ.get('KIND', 'body')
REPLICAS = 3
TIMEOUT_S = 3.0
LATE_S = 0.5
DEADLINE_S = 8.0
CALM_S = 4.0
TROUBLE_S = 10.0
PER_S = 10
STAND_IN = Path(__file__).resolve().parents[1] / 'common' / 'replica.py'


class Case:
    def __init__(self, world, has_trouble):
        self.world = world
        self.has_trouble = has_trouble
        self.sequences = {}
        self.replicas = {}
        self.waits = []

    async def run(self):
        try:
            return await self._run()
        finally:
            for process in self.replicas.values():
                process.kill()
                process.wait()

    async def _run(self):
        world = self.world
        self.controls, seeds = await world.add_controls()
        self.entry_address = f'{world.network.ip(21)}:{world.network.port("callers")}'
        readiness = f'{world.network.ip(21)}:{world.network.port("readiness")}'
        await world.add_node(
            'entry-1',
            'entry',
            21,
            seeds,
            callers=self.entry_address,
            readiness=readiness,
        )
        for name, program in world.programs.items():
            program.start(first=name in self.controls)
        self.start_replicas()
        beats = asyncio.ensure_future(self.announce())
        operator = Operator(world, self.controls)
        desk = route('payments', 'desk', 'unsafe', int(TIMEOUT_S * 1000), attempts=1)
        if not await operator.put(document(1, [desk])):
            raise CannotRun('no configuration')
        await self.wait_ready(readiness)
        callers = asyncio.ensure_future(self.send_requests())
        await asyncio.sleep(CALM_S)
        began_at = time.monotonic()
        if self.has_trouble:
            self.world.record.note('replica i-1 writes its next answer without end')
            self.replicas['i-1'].send_signal(signal.SIGUSR1)
        await callers
        beats.cancel()
        return self.is_broken(began_at)

    def start_replicas(self):
        for number in range(1, REPLICAS + 1):
            name = f'i-{number}'
            address = (
                f'{self.world.network.ip(40 + number)}:{self.world.network.port("app")}'
            )
            self.sequences[name] = [address, 0, int(time.time() * 1000)]
            path = Path(__file__).parent / f'record-{name}.txt'
            self.replicas[name] = subprocess.Popen(
                ['python3', str(STAND_IN), address, name, str(path)]
                + ([KIND] if number == 1 else [])
            )

    async def announce(self):
        """Send the status reports of all replicas."""
        while True:
            for name, state in self.sequences.items():
                state[1] += 1
                body = {
                    'backend': 'desk',
                    'address': state[0],
                    'zone': 'zone-a',
                    'version': 'v1',
                    'slots': 6,
                    'state': 'ready',
                    'warmup_left_ms': 0,
                    'sequence': state[1],
                    'born': state[2],
                }
                for address in self.controls.values():
                    answer = await call(
                        address, 'PUT', REPLICAS_PATH + name, json.dumps(body).encode()
                    )
                    if answer and answer[0] == 200:
                        break
            await asyncio.sleep(1.2)

    async def wait_ready(self, readiness):
        for _ in range(200):
            answer = await call(readiness, 'GET', '/pistachiopath/readyz')
            if answer and answer[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun('the entry is not ready')

    async def send_requests(self):
        tasks = []
        for number in range(int((CALM_S + TROUBLE_S) * PER_S)):
            tasks.append(asyncio.ensure_future(self.send(f'q{number:05d}')))
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)

    async def send(self, request):
        sent_at = time.monotonic()
        answer = await call(
            self.entry_address,
            'POST',
            '/payments/1',
            b'x' * 600,
            [
                ('Request-Id', request),
                ('Authorization', f'Token {KEY}'),
                ('Deadline-Ms', str(int(DEADLINE_S * 1000))),
            ],
            timeout_s=DEADLINE_S,
        )
        waited_s = time.monotonic() - sent_at
        self.waits.append((sent_at, waited_s, answer is not None))
        status = answer[0] if answer else None
        self.world.record.note(f'{request}: {status} after {waited_s:.3f} s')

    def is_broken(self, began_at):
        """Judge the requests by the bound of their route's timeout."""
        overdue = [w for w in self.waits if w[1] > TIMEOUT_S]
        late = [w for w in overdue if w[1] > TIMEOUT_S + LATE_S]
        unanswered = sum(not w[2] for w in self.waits)
        self.world.record.note(
            f'{len(self.waits)} requests, {len(overdue)} without an answer after '
            f'{TIMEOUT_S} s, {len(late)} of them {LATE_S} s later, '
            f'{unanswered} never answered'
        )
        return len(late) >= 8 and len(late) > len(overdue) / 2


run_case(
    lambda world: Case(world, os.environ.get('TROUBLE', '1') != '0').run(),
    Path(__file__).parent,
)
