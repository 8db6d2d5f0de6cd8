"""An entry that was cut off misses news for good; streams mix versions."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from common.harness import CannotRun, Operator, call, document, route, run_case
from common.streams import StreamReplica, read_stream

ENTRIES = 3
REPLICAS = 8
CRASHING = 2
STREAMS = 60
STREAM_PAUSE_S = 0.05
EVENTS = 40
# Beside 24 replicas, 2 more are added in each round.
ADDED = 2
ADD_PAUSE_S = 0.05
ROUNDS = 3
CUT_S = 2.0
CALM_S = 8.0


class Case:
    def __init__(self, world, has_trouble):
        self.world = world
        self.has_trouble = has_trouble
        self.streams = {}
        self.added = 0

    async def run(self):
        await self.start()
        for number in range(1, ROUNDS + 1):
            await self.round(f'writers-{number}')
        mixed = [name for name, seen in self.streams.items() if len(set(seen)) > 1]
        whole = sum(len(seen) == EVENTS for seen in self.streams.values())
        self.world.record.note(
            f'{len(self.streams)} streams, {whole} whole, {len(mixed)} with events of '
            f'two versions: {" ".join(mixed)}'
        )
        return len(mixed) > 2

    async def start(self):
        world = self.world
        self.controls, seeds = await world.add_controls()
        self.entry = f'{world.network.ip(21)}:{world.network.port("callers")}'
        readiness = f'{world.network.ip(21)}:{world.network.port("readiness")}'
        await world.add_node(
            'entry-1', 'entry', 21, seeds, callers=self.entry, readiness=readiness
        )
        for number in range(2, ENTRIES + 1):
            ip = world.network.ip(20 + number)
            await world.add_node(
                f'entry-{number}',
                'entry',
                20 + number,
                seeds,
                callers=f'{ip}:{world.network.port("callers")}',
                readiness=f'{ip}:{world.network.port("readiness")}',
            )
        for name, program in world.programs.items():
            program.start(first=name in self.controls)
        services = [f'writers-{number}' for number in range(1, ROUNDS + 1)]
        routes = [
            route(
                f'reports-{service}',
                service,
                'streaming',
                15000,
                1000,
                3,
                stream_resume=True,
                tpot_target_ms=800,
            )
            for service in services
        ]
        content = document(1, routes, [*services, 'desk'])
        if not await Operator(world, self.controls).put(content):
            raise CannotRun('no configuration')
        self.replicas = {}
        for number, service in enumerate(services, start=1):
            self.replicas[service] = [
                self.replica(service, f'i-{number}{n}', 20 + 10 * number + n)
                for n in range(1, REPLICAS + 1)
            ]
            for replica in self.replicas[service]:
                await replica.start()
        for _ in range(200):
            answer = await call(readiness, 'GET', '/pistachiopath/readyz')
            if answer and answer[0] == 200:
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun('the entry is not ready')
        await asyncio.sleep(4.0)

    def replica(self, service, name, number):
        address = f'{self.world.network.ip(number)}:{self.world.network.port("app")}'
        return StreamReplica(
            self.world, list(self.controls.values()), service, name, address, 'v1'
        )

    async def round(self, service):
        """Cut the entry off while two replicas start again with newer software."""
        replicas = self.replicas[service]
        if self.has_trouble:
            self.world.cut('entry-1', resets=True)
        await self.crash(replicas[:CRASHING])
        await asyncio.sleep(CUT_S - 0.5)
        if self.has_trouble:
            self.world.heal()
        # Replicas of another service are added.
        for _ in range(ADDED):
            self.added += 1
            await self.replica('desk', f'd-{self.added}', 100 + self.added).start()
            await asyncio.sleep(ADD_PAUSE_S)
        await asyncio.sleep(CALM_S)
        sending = asyncio.ensure_future(self.send_all(service))
        await asyncio.sleep(2.5)
        await self.crash(replicas[CRASHING : 2 * CRASHING])
        await sending

    async def crash(self, replicas):
        """Let replicas crash; they start again under their ids, with v2."""
        await asyncio.gather(*(replica.restart('v2') for replica in replicas))

    async def send_all(self, service):
        tasks = []
        for number in range(STREAMS):
            name = f'{service}-{number:02d}'
            seen = self.streams[name] = []
            path = f'/reports-{service}/1'
            tasks.append(
                asyncio.ensure_future(
                    read_stream(self.world, self.entry, path, name, EVENTS, seen)
                )
            )
            await asyncio.sleep(STREAM_PAUSE_S)
        await asyncio.gather(*tasks)


run_case(
    lambda world: Case(world, os.environ.get('TROUBLE', '1') != '0').run(),
    Path(__file__).parent,
)
