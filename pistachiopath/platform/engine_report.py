"""Decoding of an engine's report of itself."""

from __future__ import annotations

import json

from ..engine_state.report import EngineReport, RunProgress
from ..messages.ranges import MAX_INTEGER

REPORT_PATH = b'/pistachiopath/report'
MAX_RUNS = 1000
MAX_NAME_CHARS = 256
# Id, tokens in memory, events made.
RUN_FIELDS = 3


def decode_report(body: bytes) -> EngineReport | None:
    """Return the usable fields of a report, None if it is not a JSON object.

    Any field may be missing or of another type; it is then left out.

    >>> decode_report(b'{"kv_used": "7", "runs": [["a", 10, 2, 0], ["b"]]}').runs
    (RunProgress(name='a', tokens=10, events=2),)
    """
    try:
        data = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(data, dict):
        return None
    runs = data.get('runs')
    items = runs[:MAX_RUNS] if isinstance(runs, list) else []
    decoded = [_decode_run(item) for item in items]
    return EngineReport(
        held_tokens=_count(data.get('kv_used')) or 0,
        runs=tuple(run for run in decoded if run is not None),
    )


def _decode_run(item: object) -> RunProgress | None:
    if not isinstance(item, list) or len(item) < RUN_FIELDS:
        return None
    name, tokens, events = item[0], _count(item[1]), _count(item[2])
    if isinstance(name, int) and not isinstance(name, bool):
        name = f'{_count(name)}'
    if not isinstance(name, str) or len(name) > MAX_NAME_CHARS:
        return None
    if tokens is None or events is None:
        return None
    return RunProgress(name=name, tokens=tokens, events=events)


def _count(value: object) -> int | None:
    """Return a count, None if the value is none."""
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value if 0 <= value <= MAX_INTEGER else None
