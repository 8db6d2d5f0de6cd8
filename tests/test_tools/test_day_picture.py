from __future__ import annotations

import pytest

from tools.day_log import FAILED, IN_TIME, LATE, REFUSED, read_day
from tools.day_picture import draw, mean_places_held, summarize_by_tier, table

DONE = (
    '{at} edge-1/entry at="2026-04-16 03:19:27,913" level=INFO '
    'logger=pistachiopath.relay.request_log msg=request_done request=a route=r '
    'customer=c cost=10 tier={tier} outcome={outcome} status=200 replica=i sends=1 '
    'tries=1 waited_ms={waited} first_ms={first} total_ms={total} version=3'
)
REFUSAL = (
    '{at} edge-1/entry at="2026-04-16 03:19:28,000" level=INFO '
    'logger=pistachiopath.relay.request_log msg=request_turned_away request=b '
    'host=h path=/p tier={tier} status=503 reason=no_place retry_after_s=0.5 '
    'customer= cost=0 held_ms=700 tries=1 version=3'
)
LOG = [
    '  built in 4.4 s',
    '   3.0000 edge-1/entry at="2026-04-16 03:19:27,913" msg=listening server=callers',
    DONE.format(at=4.5, tier=0, outcome='delivered', waited=100, first=200, total=600),
    DONE.format(at=5.5, tier=0, outcome='delivered', waited=500, first=900, total=2000),
    DONE.format(at=6.0, tier=1, outcome='lost', waited=0, first=0, total=1500),
    REFUSAL.format(at=6.2, tier=1),
    REFUSAL.format(at=6.3, tier=-1),
]


@pytest.fixture
def requests():
    return list(read_day(LOG))


def test_each_answer_is_counted_by_kind_of_end(requests):
    summaries = summarize_by_tier(requests, [0.5])
    assert summaries[0].ends == {IN_TIME: 1, LATE: 1}
    assert summaries[1].ends == {FAILED: 1, REFUSED: 1}
    assert summaries[1].reasons == {'lost': 1, 'no_place': 1}
    assert summaries[0].by_second[LATE] == {3: 1}


def test_engine_time_is_time_for_which_places_are_held(requests):
    summaries = summarize_by_tier(requests, [0.5])
    assert summaries[0].engine_s == pytest.approx(0.5 + 1.5)
    assert (summaries[1].engine_s, summaries[1].wasted_s) == (1.5, 1.5)
    places_held = mean_places_held(requests)
    assert places_held == pytest.approx({4: 2.0, 5: 1.5})


def test_table_lists_reasons_of_requests_not_served(requests):
    text = table(summarize_by_tier(requests, [0.5]))
    assert 'tier 1: 2 requests: failed 1 (50%), refused 1 (50%)' in text
    assert 'not served for: lost 1, no_place 1' in text
    assert 'before a refusal 0.700' in text


def test_line_without_second_of_day_uses_its_timestamp():
    line = DONE.format(
        at='', tier=0, outcome='delivered', waited=0, first=1, total=500
    ).removeprefix(' edge-1/entry ')
    (request,) = read_day([line])
    assert request.ended_at - request.started_at == pytest.approx(0.5)
    assert request.ended_at % 60 == pytest.approx(27.913)


def test_plot_is_deterministic(requests, tmp_path):
    for name in ('a.svg', 'b.svg'):
        draw(
            summarize_by_tier(requests, [0.5]),
            mean_places_held(requests),
            tmp_path / name,
        )
    first, second = ((tmp_path / name).read_bytes() for name in ('a.svg', 'b.svg'))
    assert first == second
    assert b'<svg' in first
