"""Mutations that disable a mechanism of allowances, so that its test fails."""

from __future__ import annotations

from pistachiopath.admission import heard_nodes
from pistachiopath.admission.allowance_lender import AllowanceLender
from pistachiopath.admission.heard_nodes import LiveNodes
from tests.harness.mutations import check_fails, each
from tests.test_admission import test_leased_allowance as allowance_checks


def whole_allowance_when_cut_off(patch):
    """Lets each side of a partition use the whole allowance."""
    patch.setattr(LiveNodes, 'share', lambda self, now: 1.0)
    return allowance_checks.test_a_partition_does_not_double_the_burst_allowance


def overlapping_partitions_use_full_shares(patch):
    """Lets partitions that have entries in common use their shares in full."""
    patch.setattr(heard_nodes, 'OVERLAP_SAFETY', 1.0)
    check = allowance_checks
    return lambda: check.test_overlapping_partitions_do_not_double_the_allowance(
        {0}, {3, 4, 5, 6}
    )


def no_reports(patch):
    """Lets lenders ignore the use that other lenders report for their entries."""
    patch.setattr(AllowanceLender, '_subtract_lender_use', lambda *_: None)
    check = allowance_checks
    return lambda: check.test_all_entries_together_keep_the_allowance_also_when_cut_off(
        set()
    )


@each(
    whole_allowance_when_cut_off,
    overlapping_partitions_use_full_shares,
    no_reports,
)
def test_a_check_fails_without_its_mechanism(monkeypatch, mutation):
    check_fails(mutation(monkeypatch))
