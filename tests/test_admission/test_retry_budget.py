from __future__ import annotations

import random

from pistachiopath.admission.retry_budget import RetryBudget, RetryBudgetLimits

LIMITS = RetryBudgetLimits(ratio=0.2, slack=60.0, window_s=10.0)


def test_all_entries_together_stay_below_the_bound():
    rng = random.Random(2)
    entries = [RetryBudget(limits=LIMITS) for _ in range(7)]
    requests, retries = [], []
    for step in range(3000):
        now = step * 0.01
        entry = rng.choice(entries)
        entry.request(now)
        requests.append(now)
        if entry.take(now, 7):
            retries.append(now)
    for end in range(1, 31):
        asked = sum(end - 10 < at <= end for at in requests)
        retried = sum(end - 10 < at <= end for at in retries)
        assert retried <= 0.2 * asked + 60
    assert len(retries) > 0.1 * len(requests)


def test_a_quiet_entry_has_its_share_of_the_slack():
    budget = RetryBudget(limits=LIMITS)
    taken = sum(budget.take(0.0, 6) for _ in range(100))
    assert taken == 7
    assert not budget.take(9.9, 6)
    assert budget.take(10.1, 6)
