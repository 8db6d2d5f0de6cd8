from __future__ import annotations

import json

import pytest

from tools.capacity import PAGE_PATH, RAW_PATH, RAW_SLOW_PATH, fit
from tools.capacity_page import SLOPES, Sizes, render


def test_page_matches_raw_figures():
    raw, slow = (json.loads(path.read_text()) for path in (RAW_PATH, RAW_SLOW_PATH))
    assert PAGE_PATH.read_text() == render(raw, slow, fit)


def test_every_slope_has_at_least_four_sizes():
    raw = json.loads(RAW_PATH.read_text())
    assert all(len(raw[name]) >= 4 for name in SLOPES)


def test_fit_returns_slope_and_intercept_of_line():
    slope, intercept, residual = fit({'1': 5.0, '2': 7.0, '4': 11.0, '8': 19.0})
    assert (slope, intercept) == (pytest.approx(2.0), pytest.approx(3.0))
    assert residual < 1e-9


def test_control_vms_fit_budget():
    sizes = Sizes(raw=json.loads(RAW_PATH.read_text()), fit=fit)
    assert sizes.vms <= 59
    assert sizes.leader_cpu < 1.0
