from __future__ import annotations

from pistachiopath.telemetry.metrics import Metrics


def test_a_label_with_quotes_stays_one_line_and_one_label():
    metrics = Metrics()
    metrics.count('requests_total', route='a"b\\c\nd')
    assert metrics.render() == (
        'pistachiopath_requests_total{route="a\\"b\\\\c\\nd"} 1'
    )
