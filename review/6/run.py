"""Seeds change and are killed, then the core loses a machine and a disk."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common2'))

from lab import Lab, document, run_case  # noqa: E402

CORE = 3
DISKLESS = 3
# The machines that are tolerated as lost count as lost for so long after they return.
CATCH_UP_S = 4.0
DOWN_S = 1.0
REPLACED_AFTER_S = 1.0
# `recover_s` of the site.
RECOVER_S = 12.0


def change_seeds(lab: Lab, seeds: list[str]) -> None:
    """Give all programs other seeds in their settings, and tell them by SIGHUP."""
    for program in lab.programs.values():
        program.settings['seeds'] = seeds
        program.write_settings()
        program.signal(signal.SIGHUP)


async def read_back(lab: Lab, length_s: float) -> int:
    """Read the configuration at all nodes for a time; return the version, 0 if none."""
    until = time.monotonic() + length_s
    while time.monotonic() < until:
        for ip in lab.control_ips:
            status, body = await lab.order('GET', '/pistachiopath/config', ip=ip)
            lab.note('read', node=ip, status=status)
            if status == 200:
                return json.loads(body)['version']
        await asyncio.sleep(0.5)
    return 0


async def play(lab: Lab, trouble: bool) -> int:
    """Play the case; return the exit code."""
    lab.start_programs()
    if not await lab.configure(document(1)):
        return 2
    await asyncio.sleep(CATCH_UP_S)
    seeds = [f'{ip}:{lab.control_port}' for ip in lab.control_ips[CORE:]]
    change_seeds(lab, seeds)
    lab.note('seeds', now=','.join(seeds))
    await asyncio.sleep(2.0)
    if trouble:
        names = [f'control-{n}' for n in range(CORE + 1, CORE + DISKLESS + 1)]
        for name in names:
            lab.programs[name].kill()
        lab.note('killed', nodes=','.join(names))
        await asyncio.sleep(DOWN_S)
        for name in names:
            lab.programs[name].start()
    await asyncio.sleep(CATCH_UP_S)
    # A machine of the core is gone for good; an empty one comes at another address.
    lab.programs['control-3'].kill()
    lab.note('removed', node='control-3')
    await asyncio.sleep(REPLACED_AFTER_S)
    ip = lab.replace_control(3)
    lab.note('added', node='control-3-new', ip=ip)
    await asyncio.sleep(CATCH_UP_S + 8.0)
    if not await lab.configure(document(2)):
        return 2
    # Another machine of the core loses its disk, which is the one loss to be borne.
    program = lab.programs['control-2']
    program.kill()
    shutil.rmtree(program.settings['data_folder'])
    lab.note('disk lost', node='control-2')
    await asyncio.sleep(DOWN_S)
    program.start()
    version = await read_back(lab, RECOVER_S)
    lab.note('result', acknowledged=2, read=version)
    print(f'acknowledged: version 2, read back: {version or "nothing"}')
    return 1 if version != 2 else 0


if __name__ == '__main__':
    run_case(
        play,
        FOLDER,
        trouble=os.environ.get('TROUBLE') != '0',
        controls=CORE,
        diskless=DISKLESS,
        entries=1,
    )
