from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path('pistachiopath')
PAGE = Path('docs/troubleshooting.md')
EVENT = re.compile(r"logger\.(?:info|warning|error|critical)\(\s*'([a-z_]+)'")


def test_every_log_event_is_documented():
    sources = '\n'.join(path.read_text() for path in PACKAGE.rglob('*.py'))
    events = set(EVENT.findall(sources))
    assert len(events) > 10
    text = PAGE.read_text()
    assert {event for event in events if f'`{event}`' not in text} == set()
