"""Streams that two crashes have cut are refused when their callers take them up."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from common.harness import CannotRun, Operator, call, document, route, run_case
from common.streams import StreamReplica, read_stream

REPLICAS = 4
SLOTS = 16
EVENTS = 75
DEADLINE_S = 15.0
PER_S = 8
# In each round two replicas crash, one after the other.
ROUNDS = 5
ROUND_S = 12.0
BETWEEN_S = 1.5
DOWN_S = 1.2


class Case:
    def __init__(self, world, has_trouble):
        self.world = world
        self.has_trouble = has_trouble
        self.lifetimes = 0
        self.begun = []
        self.taken_up = []

    async def run(self):
        await self.start()
        sending = asyncio.ensure_future(self.send_all())
        await asyncio.sleep(6.0)
        for number in range(ROUNDS):
            until = time.monotonic() + ROUND_S
            if self.has_trouble:
                first = self.replicas[number % REPLICAS]
                second = self.replicas[(number + 1) % REPLICAS]
                crash = asyncio.ensure_future(self.crash(first))
                await asyncio.sleep(BETWEEN_S)
                await self.crash(second)
                await crash
            await asyncio.sleep(max(0.0, until - time.monotonic()))
        sending.cancel()
        await asyncio.gather(*self.tasks)
        return self.is_broken()

    async def start(self):
        world = self.world
        controls, seeds = await world.add_controls()
        self.entry = f'{world.network.ip(21)}:{world.network.port("callers")}'
        readiness = f'{world.network.ip(21)}:{world.network.port("readiness")}'
        await world.add_node(
            'entry-1', 'entry', 21, seeds, callers=self.entry, readiness=readiness
        )
        for name, program in world.programs.items():
            program.start(first=name in controls)
        tags = route(
            'tags',
            'writers',
            'streaming',
            15000,
            600,
            2,
            stream_resume=True,
            tpot_target_ms=800,
        )
        operator = Operator(world, controls)
        if not await operator.put(document(1, [tags], ['writers'])):
            raise CannotRun('no configuration')
        self.replicas = [
            StreamReplica(
                world,
                list(controls.values()),
                'writers',
                self.next_name(),
                f'{world.network.ip(40 + n)}:{world.network.port("app")}',
                'v1',
                SLOTS,
            )
            for n in range(1, REPLICAS + 1)
        ]
        for replica in self.replicas:
            await replica.start()
        for _ in range(200):
            answer = await call(readiness, 'GET', '/pistachiopath/readyz')
            if answer and answer[0] == 200:
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun('the entry is not ready')
        await asyncio.sleep(4.0)

    def next_name(self):
        self.lifetimes += 1
        return f'i-{self.lifetimes}'

    async def crash(self, replica):
        """Let a replica crash; it comes back as a new lifetime with a new id."""
        await replica.restart('v1', DOWN_S, self.next_name())

    async def send_all(self):
        self.tasks = []
        number = 0
        while True:
            number += 1
            self.tasks.append(asyncio.ensure_future(self.send(f's{number:04d}')))
            await asyncio.sleep(1 / PER_S)

    async def send(self, request):
        """Read a stream; take it up once if it breaks off midway."""
        sent_at = time.monotonic()
        seen = []
        path = f'/tags/{request}'
        await read_stream(
            self.world, self.entry, path, request, EVENTS, seen, DEADLINE_S
        )
        self.begun.append(bool(seen))
        if not 0 < len(seen) < EVENTS:
            return
        await asyncio.sleep(0.1)
        left_s = DEADLINE_S - (time.monotonic() - sent_at)
        more = [f'Last-Event-Id: {len(seen)}', f'Resumes: {request}']
        rest = []
        await read_stream(
            self.world, self.entry, path, f'{request}b', EVENTS, rest, left_s, more
        )
        self.taken_up.append(bool(rest))

    def is_broken(self):
        goes_on = sum(self.taken_up)
        begins = sum(self.begun)
        self.world.record.note(
            f'{begins} of {len(self.begun)} new streams began; of '
            f'{len(self.taken_up)} that were taken up again {goes_on} went on'
        )
        if len(self.taken_up) < 12:
            return False
        return goes_on / len(self.taken_up) < begins / len(self.begun) / 2


run_case(
    lambda world: Case(world, os.environ.get('TROUBLE', '1') != '0').run(),
    Path(__file__).parent,
)
