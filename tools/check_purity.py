"""Checks that the decision packages import no I/O, clock or framework."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

PACKAGE = Path('pistachiopath')
PURE = (
    'admission',
    'claims',
    'engine',
    'fencing',
    'gate',
    'membership',
    'messages',
    'quarantine',
    'replication',
    'routing',
)
PURE_FILES = (
    'effects.py',
    'agent/core.py',
    'agent/rates.py',
    'control/core.py',
    'control/registry.py',
    'control/replicated_state.py',
    'entry/core.py',
)
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


def imported(tree: ast.AST) -> set[str]:
    """Return the top-level names of the absolute imports of a module."""
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names.update(alias.name.split('.')[0] for alias in node.names)
        if isinstance(node, ast.ImportFrom) and not node.level:
            names.add(node.module.split('.')[0])
    return names


def main() -> int:
    """Print each forbidden import; return 1 if there is any."""
    paths = [PACKAGE / name for name in PURE_FILES]
    for name in PURE:
        paths += sorted((PACKAGE / name).glob('*.py'))
    bad = 0
    for path in paths:
        for name in sorted(imported(ast.parse(path.read_text())) & FORBIDDEN):
            print(f'{path}: decision code imports {name}')
            bad = 1
    return bad


if __name__ == '__main__':
    sys.exit(main())
