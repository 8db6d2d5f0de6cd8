from __future__ import annotations

from pistachiopath.admission.allowance_lender import AllowanceLender
from pistachiopath.document.lending import RETELL_CRASHES_S, Lending
from pistachiopath.messages.allowance import UseReport
from pistachiopath.messages.quarantine import CrashMark, CrashMarks
from pistachiopath.quarantine.crash_watch import CrashWatch

MARKS = CrashMarks(
    marks=(CrashMark(fingerprint=b'f', lifetime='r1', age_ms=10, ran_ms=5),)
)
OTHERS = ('c1', 'c2')


def lending(entries=('e0', 'e1', 'e2')):
    node = Lending(
        lender=AllowanceLender(session=1),
        crashes=CrashWatch(),
        controls=lambda: OTHERS,
    )
    for entry in entries:
        node.reported(entry, UseReport(session=1, uses=(), begins=True), 1.0)
    return node


def told(effects):
    return sorted(e.to for e in effects if isinstance(e.body, CrashMarks))


def test_a_crash_is_passed_on_to_all_entries_and_control_nodes_once():
    node = lending()
    assert told(node.crashed('e0', MARKS, 1.1)) == ['c1', 'c2', 'e1', 'e2']
    assert told(node.crashed('e1', MARKS, 1.2)) == []


def test_what_another_control_node_tells_goes_to_entries_alone():
    assert told(lending().crashed('c1', MARKS, 1.1)) == ['e0', 'e1', 'e2']


def test_an_entry_that_begins_is_told_what_is_known():
    node = lending()
    node.crashed('e0', MARKS, 1.1)
    report = UseReport(session=7, uses=(), begins=True)
    assert told(node.reported('e9', report, 1.3)) == ['e9']


def test_control_nodes_are_told_again_what_they_may_have_missed():
    node = lending()
    node.tick(1.0)
    node.crashed('e0', MARKS, 1.1)
    assert told(node.tick(1.2)) == []
    assert told(node.tick(1.0 + RETELL_CRASHES_S)) == ['c1', 'c2']
