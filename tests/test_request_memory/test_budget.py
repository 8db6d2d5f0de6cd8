from __future__ import annotations

from pistachiopath.request_memory.budget import SMALL_BYTES, RequestBudget

KIB = 1024
MAX = 1024 * KIB
LARGE = 400 * KIB


def begin(budget, held=0, received=0):
    request = budget.begin()
    assert budget.take(request, held)
    request.received_bytes = received
    return request


def test_requests_hold_no_more_than_the_budget_together():
    # Guards against a crowd whose requests each fit on their own.
    budget = RequestBudget(max_bytes=MAX)
    requests = [budget.begin() for _ in range(8)]
    granted = [budget.take(request, LARGE) for request in requests]
    assert granted.count(True) == 1
    assert budget.held_bytes == LARGE
    budget.end(requests[0])
    assert budget.held_bytes == 0
    assert budget.take(requests[1], LARGE)


def test_small_requests_find_room_beside_large_ones():
    # Guards against large requests that shut out all ordinary callers.
    budget = RequestBudget(max_bytes=MAX)
    begin(budget, LARGE)
    assert not budget.take(budget.begin(), LARGE)
    assert budget.take(budget.begin(), SMALL_BYTES)


def test_a_request_larger_than_the_budget_is_served_alone():
    # Guards against a legal request that no wait would ever let through.
    budget = RequestBudget(max_bytes=MAX)
    request = begin(budget, 2 * MAX)
    assert not budget.take(budget.begin(), LARGE)
    budget.end(request)
    assert budget.held_bytes == 0


def test_of_the_waiting_requests_the_one_that_has_sent_the_most_is_next():
    # Guards against requests that each hold a part and wait for the others.
    budget = RequestBudget(max_bytes=MAX)
    first = begin(budget, LARGE)
    most, less = begin(budget, received=9), begin(budget, received=3)
    assert not budget.take(most, LARGE)
    assert not budget.take(less, LARGE)
    budget.end(first)
    assert not budget.take(less, LARGE)
    assert budget.take(most, LARGE)


def test_the_request_that_has_sent_the_least_is_refused_and_of_those_the_newest():
    # Guards against refusals of callers whose requests have nearly arrived.
    budget = RequestBudget(max_bytes=MAX)
    begin(budget, KIB, received=9)
    older, newer = begin(budget, KIB, received=1), begin(budget, KIB, received=1)
    assert budget.refuse_one() is newer
    assert budget.refuse_one() is older
    assert newer.is_refused and older.is_refused


def test_a_complete_request_is_not_refused():
    # Guards against a refusal that says falsely that a request has not run.
    budget = RequestBudget(max_bytes=MAX)
    complete = begin(budget, LARGE)
    complete.is_reading = False
    assert budget.refuse_one() is None
    assert not complete.is_refused
