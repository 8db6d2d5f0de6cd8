from __future__ import annotations

import json

import pytest

from tools.capacity import fit
from tools.capacity_platform import PAGE_PATH, RAW_PATH, message_bytes
from tools.capacity_platform_page import figures, render


@pytest.fixture
def raw():
    return json.loads(RAW_PATH.read_text())


def test_page_matches_raw_figures(raw):
    assert PAGE_PATH.read_text() == render(raw, fit)


def test_message_sizes_match_raw_figures(raw):
    assert json.loads(json.dumps(message_bytes())) == raw['bytes']


def test_every_figure_is_proportional_to_message_sizes(raw):
    doubled = json.loads(json.dumps(raw))
    for name, value in doubled['bytes'].items():
        if isinstance(value, dict):
            doubled['bytes'][name] = {n: 2 * v for n, v in value.items()}
        else:
            doubled['bytes'][name] = 2 * value
    original, doubled_figures = figures(raw, fit), figures(doubled, fit)
    for part, rows in original.items():
        for (label, value), (_, larger) in zip(
            rows, doubled_figures[part], strict=True
        ):
            assert larger == pytest.approx(2 * value), label
