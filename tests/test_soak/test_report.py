from __future__ import annotations

import attrs

from tests.test_soak.histories import cut, events, fault, history, refused, request
from tools.soak.checks import violations
from tools.soak.fault_kind import FaultKind
from tools.soak.operations import SoftwareSpan
from tools.soak.plot import save_plot
from tools.soak.report import render
from tools.soak.request_kind import RequestKind


def test_the_report_names_check_moment_request_and_faults():
    reset = fault(FaultKind.LINK_RESET, 'link-desk-2', 8.0, 8.0)
    past = history(cut(), request(at=12.0, name='r2'), faults=[reset])
    report = render(3, past, tuple(violations(past)))
    assert 'seed 3, 100 s: FAILED: 1 violations' in report
    assert 'answered: 1\n  at 10.20 s, request r1: cut at entry-1' in report
    assert 'link_reset link-desk-2 at 8.00 s' in report
    assert 'safe              cut 1, 200 1' in report
    assert 'link_reset 4.20' in report


def streams_at(began_at, kind=RequestKind.RESUMABLE_STREAM):
    """Return a stream that goes on after a return, and two that do not begin."""
    first, run = cut(kind=kind, at=began_at, head_at=began_at + 0.1)
    first.events = events(first.path, 1, 1)
    back, rerun = request(kind, at=began_at + 1, name='r2', path=first.path)
    back = attrs.evolve(back, root='r1', last_event=1, events=back.events[1:])
    lost = refused(at=began_at + 1, name='r3', path=first.path, kind=kind)
    return (first, run), (back, rerun), lost


def software(*places, until=100.0):
    return [
        SoftwareSpan(place=place, version='v1', began_at=0.0, ended_at=until)
        for place in places
    ]


def test_the_report_counts_returns_only_while_two_replicas_of_the_version_serve():
    past = history(*streams_at(20.0), software=software('model-1', 'model-2'))
    text = 'all entries: new 1 of 2 (0.50), returns 1 of 1 (1.00)'
    assert text in render(1, past, ())
    for spans in (
        software('model-1', 'desk-1'),
        software('model-1', 'model-2', until=20.0),
    ):
        past = history(*streams_at(20.0), software=spans)
        assert 'all entries: new 0 of 0, returns 0 of 0' in render(1, past, ())


def test_the_report_counts_apart_the_streams_at_undisturbed_entries():
    pause = fault(FaultKind.ENTRY_PAUSED, 'entry-1', 20.5, 21.5)
    spans = software('model-1', 'model-2')
    past = history(*streams_at(20.0), software=spans, faults=[pause])
    report = render(1, past, ())
    assert '  undisturbed entries: new 1 of 1 (1.00), returns 0 of 0' in report


def test_a_run_without_requests_has_a_report():
    assert render(1, history(), ()).startswith('seed 1, 100 s: passed')


def test_a_run_has_a_plot(tmp_path):
    path = tmp_path / 'report.png'
    reset = fault(FaultKind.LINK_RESET, 'link-desk-2', 8.0, 8.0)
    save_plot(history(cut(), request(at=12.0, name='r2'), faults=[reset]), path)
    assert path.read_bytes().startswith(b'\x89PNG')
    save_plot(history(), path)
