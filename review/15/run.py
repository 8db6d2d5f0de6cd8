"""Servers start again with a new version and report late; then an entry is killed."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.common3.rig import TROUBLE, Rig, configuration, main, say
from review.common3.streams import EVENTS, Caller, StreamServer, stream_route

SERVERS = 4
STREAMS = 24
DOWN_S = 0.6
LATE_S = 3.0
# The entry is killed before the first reports come; callers come back until after them.
KILL_BEFORE_S = 1.0
# The rule looks at 12 streams or more that are taken up again.
MIN_STREAMS = 12


async def case() -> bool:
    folder = str(Path(__file__).parent)
    async with Rig(folder, entries=3) as rig:
        servers = [StreamServer(rig, 'model', 50 + n) for n in range(SERVERS)]
        for server in servers:
            await server.start()
        await rig.configure(configuration(1, {'model': {}}, [stream_route('model')]))
        await rig.wait_ready()
        # Entries that have just started refuse callers that come back.
        await asyncio.sleep(8)
        first, second, _ = rig.entries
        if TROUBLE:
            for server in servers:
                server.crash()
            rig.record(f'{SERVERS} servers crash')
            await asyncio.sleep(DOWN_S)
            for server in servers:
                rig.spawn(server.start_again('v2', first_report_s=LATE_S))
            rig.record('they start again as v2')
        await asyncio.sleep(0.5)
        callers = [Caller(rig, f'c{n}') for n in range(STREAMS)]
        begun = [rig.spawn(caller.begin(first.ip)) for caller in callers]
        await asyncio.sleep(LATE_S - 0.5 - KILL_BEFORE_S)
        first.kill()
        rig.record(f'{first.name} is killed')
        await asyncio.gather(*begun)
        broken = [c for c in callers if 0 < c.last_event < EVENTS]
        fresh = [Caller(rig, f'n{n}') for n in range(STREAMS)]
        await asyncio.gather(
            *(caller.come_back(second.ip) for caller in broken),
            *(asyncio.wait_for(caller.begin(second.ip), 60) for caller in fresh),
        )
        gone_on = sum(caller.has_gone_on for caller in broken)
        new = sum(caller.last_event > 0 for caller in fresh)
        versions = {version for c in callers for version in c.versions}
        share_back = gone_on / max(1, len(broken))
        say(
            rig,
            f'streams taken up again: {len(broken)}, gone on: {gone_on}',
            f'new streams: {len(fresh)}, begun: {new}',
            f'versions that began them: {sorted(versions)}',
        )
        if len(broken) < MIN_STREAMS:
            return True
        return share_back >= 0.5 * new / len(fresh)


main(case)
