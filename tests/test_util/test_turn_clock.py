from __future__ import annotations

from pistachiopath.util.turn_clock import CATCH_UP_S, TurnClock


def turned(*times):
    clock = TurnClock()
    for now in times:
        clock.turn(now)
    return clock


def test_what_is_read_in_a_process_that_turns_may_be_a_turn_old():
    clock = turned(1.0, 1.05, 1.4, 1.45, 1.8, 1.85)
    clock = turned(*(n / 20 for n in range(40)))
    assert clock.may_have_come_at(1.96) == 39 / 20


def test_what_is_read_after_a_standstill_is_taken_to_be_new():
    clock = turned(*(n / 20 for n in range(21)))
    # Bytes may be read before or after the first turn.
    assert clock.may_have_come_at(3.0) == 1.0
    clock.turn(3.0)
    assert clock.may_have_come_at(3.01) == 1.0
    clock.turn(3.05)
    assert clock.may_have_come_at(3.06) == 1.0
    assert clock.may_have_come_at(3.01 + CATCH_UP_S) == 3.05


def test_a_second_standstill_while_catching_up_hides_the_first():
    clock = turned(*(n / 20 for n in range(21)))
    clock.turn(3.0)
    clock.turn(3.25)
    assert clock.may_have_come_at(3.3) == 1.0
