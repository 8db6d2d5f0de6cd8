"""A new version appears on one side of a cut; callers come back on the other side."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.common3.cut import Cut
from review.common3.rig import TROUBLE, Rig, configuration, main, say
from review.common3.streams import EVENTS, Caller, StreamServer, stream_route

OLD_SERVERS = 5
NEW_SERVERS = 2
STREAMS = 42
KILL_AFTER_S = 3.0
CUT_S = 5.5
PAUSE_S = 0.3
# The rule is broken by more than two streams.
ALLOWED_MIXED = 2


async def begin_and_come_back(caller: Caller, first: str, second: str) -> None:
    await caller.begin(first)
    if 0 < caller.last_event < EVENTS:
        await asyncio.sleep(PAUSE_S)
        await caller.come_back(second)


async def case() -> bool:
    folder = str(Path(__file__).parent)
    cut = Cut()
    async with Rig(folder, entries=3, cut=cut) as rig:
        old = [StreamServer(rig, 'model', 50 + n) for n in range(OLD_SERVERS)]
        for server in old:
            await server.start()
        await rig.configure(configuration(1, {'model': {}}, [stream_route('model')]))
        await rig.wait_ready()
        # Entries that have just started refuse callers that come back.
        await asyncio.sleep(8)
        control, entry = rig.controls[2], rig.entries[2]
        if TROUBLE:
            cut.begin({rig.node_link(control), rig.node_link(entry)})
            rig.record(f'{control.name} and {entry.name} are cut off')
        await asyncio.sleep(0.2)
        new = [StreamServer(rig, 'model', 60 + n) for n in range(NEW_SERVERS)]
        for server in new:
            server.version = 'v2'
            server.reports_to = [control]
            await server.start()
        await asyncio.sleep(0.5)
        callers = [Caller(rig, f'c{n}') for n in range(STREAMS)]
        streams = [
            rig.spawn(begin_and_come_back(caller, entry.ip, rig.entries[0].ip))
            for caller in callers
        ]
        await asyncio.sleep(KILL_AFTER_S - 0.7)
        entry.kill()
        rig.record(f'{entry.name} is killed')
        await asyncio.sleep(CUT_S - KILL_AFTER_S)
        cut.end()
        rig.record('the cut has healed')
        await asyncio.gather(*streams)
        mixed = [caller.name for caller in callers if len(caller.versions) > 1]
        by_new = sum(len(server.ran) for server in new)
        back = sum(caller.has_come_back for caller in callers)
        say(
            rig,
            f'streams: {len(callers)}, taken up again: {back}, run by v2: {by_new}',
            f'streams with events of two versions: {len(mixed)}',
        )
        return len(mixed) <= ALLOWED_MIXED


main(case)
