from __future__ import annotations

import math

from pistachiopath.util.listening_span import ListeningSpan


def test_late_turns_alone_end_a_standstill():
    listening = ListeningSpan()
    for turn in range(20):
        listening.turn(5.0 + turn * 0.05)
    assert listening.since == -math.inf
    listening.turn(9.0)
    listening.turn(9.1)
    assert listening.since == 9.0
