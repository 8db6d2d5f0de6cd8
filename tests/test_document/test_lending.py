from __future__ import annotations

from pistachiopath.admission.allowance_lender import AllowanceLender
from pistachiopath.document.lending import CRASH_RESEND_INTERVAL_S, Lending
from pistachiopath.messages.allowance import UseReport
from pistachiopath.messages.quarantine import CrashMark, CrashMarks
from pistachiopath.quarantine.crash_watch import CrashWatch

MARKS = CrashMarks(
    marks=(CrashMark(fingerprint=b'f', lifetime='r1', age_ms=10, ran_ms=5),)
)
OTHER_CONTROLS = ('c1', 'c2')


def make_lending(entries=('e0', 'e1', 'e2')):
    lending = Lending(
        lender=AllowanceLender(session=1),
        crashes=CrashWatch(),
        controls=lambda: OTHER_CONTROLS,
    )
    for entry in entries:
        lending.on_use_report(entry, UseReport(session=1, uses=(), begins=True), 1.0)
    return lending


def mark_recipients(effects):
    return sorted(e.to for e in effects if isinstance(e.body, CrashMarks))


def test_a_crash_is_passed_on_to_all_entries_and_control_nodes_once():
    lending = make_lending()
    assert mark_recipients(lending.on_crash_marks('e0', MARKS, 1.1)) == [
        'c1',
        'c2',
        'e1',
        'e2',
    ]
    assert mark_recipients(lending.on_crash_marks('e1', MARKS, 1.2)) == []


def test_a_crash_from_another_control_node_is_passed_on_only_to_entries():
    assert mark_recipients(make_lending().on_crash_marks('c1', MARKS, 1.1)) == [
        'e0',
        'e1',
        'e2',
    ]


def test_an_entry_that_starts_is_sent_the_known_crashes():
    lending = make_lending()
    lending.on_crash_marks('e0', MARKS, 1.1)
    report = UseReport(session=7, uses=(), begins=True)
    assert mark_recipients(lending.on_use_report('e9', report, 1.3)) == ['e9']


def test_crashes_are_resent_to_control_nodes_that_may_have_missed_them():
    lending = make_lending()
    lending.tick(1.0)
    lending.on_crash_marks('e0', MARKS, 1.1)
    assert mark_recipients(lending.tick(1.2)) == []
    assert mark_recipients(lending.tick(1.0 + CRASH_RESEND_INTERVAL_S)) == ['c1', 'c2']
