from __future__ import annotations

from tests.test_soak.histories import cut, fault, history, request
from tools.soak.checks import violations
from tools.soak.fault_kind import FaultKind
from tools.soak.plot import save_plot
from tools.soak.report import render


def test_the_report_names_check_moment_request_and_faults():
    reset = fault(FaultKind.LINK_RESET, 'link-desk-2', 8.0, 8.0)
    past = history(cut(), request(at=12.0, name='r2'), faults=[reset])
    report = render(3, past, tuple(violations(past)))
    assert 'seed 3, 100 s: FAILED: 1 violations' in report
    assert 'answered: 1\n  at 10.20 s, request r1: cut at entry-1' in report
    assert 'link_reset link-desk-2 at 8.00 s' in report
    assert 'safe              cut 1, 200 1' in report
    assert 'link_reset 4.20' in report


def test_a_run_without_requests_has_a_report():
    assert render(1, history(), ()).startswith('seed 1, 100 s: passed')


def test_a_run_has_a_plot(tmp_path):
    path = tmp_path / 'report.png'
    reset = fault(FaultKind.LINK_RESET, 'link-desk-2', 8.0, 8.0)
    save_plot(history(cut(), request(at=12.0, name='r2'), faults=[reset]), path)
    assert path.read_bytes().startswith(b'\x89PNG')
    save_plot(history(), path)
