from __future__ import annotations

from pistachiopath.control.replicated_state import ReplicatedState
from pistachiopath.messages.claims import Bind
from pistachiopath.messages.membership import CrashReport, Register


def test_resent_crash_report_counts_once_even_after_a_later_report():
    state = ReplicatedState()
    state.apply(1, 1000, Register(target='t', nonce=b'1'))
    for key in (b'a', b'b'):
        cmd = Bind(
            key=key,
            fingerprint=key,
            attempt=key,
            target='t',
            incarnation=1,
            address='t',
        )
        state.apply(2, 1000, cmd)
    reports = [
        CrashReport(target='t', number=1, keys=(b'a',)),
        CrashReport(target='t', number=2, keys=(b'b',)),
    ]
    for report in (*reports, *reports):
        state.apply(3, 1000, report)
    assert {s.fingerprint: s.crashes for s in state.suspects} == {b'a': 1, b'b': 1}
