"""Checks imports of decision code, places of wire names, and calls of gevent."""

from __future__ import annotations

import ast
import re
import sys
from pathlib import Path

PACKAGE = Path('pistachiopath')
PURE_PACKAGES = (
    'admission',
    'claims',
    'directory',
    'engine',
    'engine_state',
    'fencing',
    'gate',
    'membership',
    'messages',
    'quarantine',
    'replication',
    'rollouts',
    'request_memory',
    'routes',
    'routing',
    'shares',
    'streams',
)
PURE_FILES = (
    'effects.py',
    'agent/core.py',
    'agent/rates.py',
    'control/core.py',
    'control/registry.py',
    'control/replicated_state.py',
    'document/client.py',
    'document/core.py',
    'entry/core.py',
    'grants/begun_streams.py',
    'grants/gate.py',
    'grants/kept_places.py',
    'grants/place.py',
    'grants/place_queue.py',
    'grants/tier_loads.py',
    'grants/tiers.py',
    'grants/wait_estimate.py',
    'grants/speed.py',
    'grants/watch.py',
    'startup/bounds.py',
    'startup/knowledge.py',
    'startup/release_queue.py',
)
ADAPTER = PACKAGE / 'platform'
WIRE_NAMES = re.compile(
    'Prefix-Hash|Token-Usage|Expect-Replica|Replica-Signature|Kv-|Not-Executed'
    '|heartbeat_addr|warmup_left_ms|tpot_target_ms|plain_tokens|PISTACHIOPATH_'
    '|prefix-hash|token-usage|expect-replica|replica-signature|not-executed'
    '|/pistachiopath/|stream_resume|traffic_split|session_affinity'
)
# Their timers begin when the event loop last read its clock: too early after a pause.
EARLY_TIMERS = re.compile(r'gevent\.(spawn_later|joinall|wait|iwait)\(')
FORBIDDEN = {
    'asyncio',
    'bottle',
    'capnp',
    'gevent',
    'os',
    'select',
    'socket',
    'subprocess',
    'threading',
    'time',
    'urllib3',
}


def imported_modules(tree: ast.AST) -> set[str]:
    """Return the top-level names of the absolute imports of a module."""
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names.update(alias.name.split('.')[0] for alias in node.names)
        if isinstance(node, ast.ImportFrom) and not node.level:
            names.add(node.module.split('.')[0])
    return names


def check_wire_names() -> int:
    """Print each wire name outside the adapter; return 1 if there is any."""
    exit_code = 0
    for path in sorted(PACKAGE.rglob('*.py')):
        if ADAPTER in path.parents:
            continue
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            if WIRE_NAMES.search(line):
                print(f'{path}:{number}: name of the platform outside its adapter')
                exit_code = 1
    return exit_code


def check_early_timers() -> int:
    """Print each call whose timer may end too early; return 1 if there is any."""
    exit_code = 0
    for path in sorted(PACKAGE.rglob('*.py')):
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            if EARLY_TIMERS.search(line):
                print(f'{path}:{number}: use util.later or a wait with its own timeout')
                exit_code = 1
    return exit_code


def main() -> int:
    """Print each forbidden import, name and call; return 1 if there is any."""
    paths = [PACKAGE / name for name in PURE_FILES]
    for name in PURE_PACKAGES:
        paths += sorted((PACKAGE / name).glob('*.py'))
    exit_code = check_wire_names() | check_early_timers()
    for path in paths:
        for name in sorted(imported_modules(ast.parse(path.read_text())) & FORBIDDEN):
            print(f'{path}: decision code imports {name}')
            exit_code = 1
    return exit_code


if __name__ == '__main__':
    sys.exit(main())
