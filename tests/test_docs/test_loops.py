from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path('pistachiopath')
PAGE = Path('docs/design/loops.md')
START = re.compile(
    r'\b(?:\w+\.spawn|spawn_essential|call_later|PeriodicLoop|StreamServer)\('
)


def test_each_module_that_starts_a_greenlet_says_what_its_error_does():
    modules = {
        str(path.relative_to(PACKAGE))
        for path in PACKAGE.rglob('*.py')
        if START.search(path.read_text())
    }
    assert len(modules) > 10
    text = PAGE.read_text()
    assert {module for module in modules if f'`{module}`' not in text} == set()
