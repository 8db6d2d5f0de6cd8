from __future__ import annotations

import json

from pistachiopath.telemetry.spans import NoSpans
from pistachiopath.telemetry.traced_spans import TracedSpans


def test_each_span_is_one_line_of_the_file(tmp_path):
    path = tmp_path / 'spans'
    spans = TracedSpans(program='pistachiopath-entry', node='e1', path=str(path))
    spans.begin('entry').end()
    spans.begin('entry').end()
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert [line['name'] for line in lines] == ['entry', 'entry']
    assert lines[0]['resource']['attributes']['host.name'] == 'e1'


def test_noop_span_may_be_ended_any_number_of_times():
    spans = NoSpans()
    span = spans.begin('entry')
    span.end()
    spans.begin('entry').end()
    span.end()
