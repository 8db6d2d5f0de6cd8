"""Prints the spans of one request as a tree."""

from __future__ import annotations

import json
from collections import defaultdict
from datetime import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def read_spans(folder: Path) -> list[dict]:
    """Return all spans that the processes of a deployment exported."""
    spans = []
    for path in sorted(folder.glob('*.spans')):
        spans += [json.loads(line) for line in path.read_text().splitlines()]
    return spans


def tree(spans: list[dict], trace_id: str) -> str:
    """Return the spans of a trace, indented below their parents."""
    trace_spans = [s for s in spans if s['context']['trace_id'] == trace_id]
    children = defaultdict(list)
    span_ids = {s['context']['span_id'] for s in trace_spans}
    for span in trace_spans:
        parent = span['parent_id'] if span['parent_id'] in span_ids else None
        children[parent].append(span)
    lines = []
    _add_lines(lines, children, None, 0)
    return '\n'.join(lines)


def _add_lines(lines, children, parent, depth):
    for span in sorted(children[parent], key=lambda s: s['start_time']):
        started_at = datetime.fromisoformat(span['start_time'])
        duration = datetime.fromisoformat(span['end_time']) - started_at
        node = span['resource']['attributes']['host.name']
        name = '  ' * depth + span['name']
        lines.append(f'{name:<24}{duration.total_seconds() * 1000:>10.1f} ms  {node}')
        _add_lines(lines, children, span['context']['span_id'], depth + 1)
