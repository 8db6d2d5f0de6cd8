"""A leader is cut off and comes back; after two single restarts a change is gone."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from common.harness import (
    CATCH_UP_S,
    CONFIG_S,
    CannotRun,
    Operator,
    document,
    run_case,
)

# A control node replaces its log by a snapshot at 400 records.  The cut begins shortly
# before that, so that the snapshot falls into the cut.
RECORDS_BEFORE_CUT = 395
ORDERS_AT_ONCE = 8
CUT_S = 4.0
DOWN_S = 3.0
READ_S = 13.0


class Case:
    def __init__(self, world, has_trouble):
        self.world = world
        self.has_trouble = has_trouble
        self.version = 0
        self.records = 0

    async def run(self):
        self.controls, _ = await self.world.add_controls()
        self.operator = Operator(self.world, self.controls)
        for name in self.controls:
            self.world.programs[name].start(first=True)
        await self.change()
        await self.many_orders()
        cut = await self.leader()
        others = [name for name in self.controls if name != cut]
        await self.cut_off(cut, others)
        await self.change(others)
        await asyncio.sleep(CATCH_UP_S)
        await self.change(others)
        if self.has_trouble:
            await self.restart(cut, 1.0)
        await asyncio.sleep(CATCH_UP_S)
        for _ in range(3):
            await self.change(others)
        await asyncio.sleep(CATCH_UP_S)
        leader = await self.leader()
        self.world.record.note(f'{leader} leads')
        if self.has_trouble:
            self.world.programs[leader].kill()
            asyncio.get_running_loop().call_later(
                DOWN_S, self.world.programs[leader].start
            )
        return await self.read_all(list(self.controls), READ_S)

    async def change(self, nodes=None):
        self.version += 1
        if not await self.operator.put(document(self.version), nodes):
            raise CannotRun(f'change {self.version} was not acknowledged')
        self.records += 1

    async def many_orders(self):
        """Send changes and reads one after the other, as on a day of many changes."""
        name = await self.leader()
        # The first members and each new leader take one record.
        self.records += 1 + self.elections()
        while self.records < RECORDS_BEFORE_CUT:
            if self.records % 4 == 0:
                await self.change([name])
            elif (await self.operator.read(name, quiet=True))[0] is None:
                raise CannotRun('a read failed in calm time')
            else:
                self.records += 1
        if self.elections() > 1:
            raise CannotRun('the leader changed in calm time')
        self.world.record.note(f'{self.version} changes so far, the rest reads')

    def elections(self):
        lines = [
            line
            for name in self.controls
            for line in self.world.programs[name].log_lines('role_changed')
        ]
        return sum('leader' in line for line in lines)

    async def leader(self):
        """Return the control node that says last that it leads."""
        for _ in range(100):
            found = []
            for name in self.controls:
                lines = self.world.programs[name].log_lines('role_changed')
                if (
                    lines
                    and 'leader' in lines[-1]
                    and self.world.programs[name].is_running
                ):
                    found.append(name)
            if len(found) == 1:
                return found[0]
            await asyncio.sleep(0.1)
        raise CannotRun('no single leader')

    async def cut_off(self, cut, others):
        """Cut the leader off from the others; the operator reaches all of them."""
        if self.has_trouble and os.environ.get('CUT') != '0':
            self.world.cut(cut)
        until = time.monotonic() + CUT_S
        reads = [self.operator.read(cut) for _ in range(ORDERS_AT_ONCE)]
        await asyncio.gather(*reads)
        for _ in range(12):
            version, _ = await self.operator.read(others[0])
            if version is None:
                await asyncio.sleep(0.1)
        await asyncio.sleep(max(0.0, until - time.monotonic()))
        self.world.heal()

    async def restart(self, name, down_s):
        self.world.programs[name].kill()
        await asyncio.sleep(down_s)
        self.world.programs[name].start()

    async def read_all(self, nodes, for_s):
        """Read at all nodes; return whether one answered with an older version."""
        is_broken = False
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            for name in nodes:
                version, sent_at = await self.operator.read(name)
                acked = self.operator.acked.items()
                due = max(v for v, at in acked if sent_at > at + CONFIG_S)
                if version is not None and version < due:
                    self.world.record.note(
                        f'BROKEN: {due} was acknowledged, not {version}'
                    )
                    is_broken = True
            await asyncio.sleep(0.3)
        return is_broken


run_case(
    lambda world: Case(world, os.environ.get('TROUBLE', '1') != '0').run(),
    Path(__file__).parent,
)
