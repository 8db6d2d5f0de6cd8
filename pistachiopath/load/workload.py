"""Workloads: kinds of requests and the customers that send them."""

from __future__ import annotations

import attrs

from .kind import Kind


@attrs.define(kw_only=True, frozen=True)
class Workload:
    """Kinds of requests at the rates of a normal hour, and each customer's share."""

    name: str
    model: str
    kinds: tuple[Kind, ...]
    customers: dict[str, float]


ANKOBRA = Workload(
    name='ankobra',
    model='spill-report',
    customers={
        'upper-river-authority': 0.4,
        'delta-authority': 0.3,
        'lagoon-authority': 0.15,
        'harbour-board': 0.1,
        'fisheries-desk': 0.05,
    },
    kinds=(
        Kind(
            work='fishing-notice',
            tier='notice',
            rate=1.0,
            deadline_s=20.0,
            prompt_tokens=(100, 400),
            output_tokens=(60, 120),
            repeatable=False,
        ),
        Kind(
            work='incident-report',
            tier='filing',
            rate=1.5,
            deadline_s=120.0,
            prompt_tokens=(1000, 8000),
            output_tokens=(300, 900),
            documents=40,
        ),
        Kind(
            work='classification-tags',
            tier='tags',
            rate=6.0,
            deadline_s=600.0,
            promised=False,
            prompt_tokens=(60, 400),
            output_tokens=(4, 12),
        ),
        Kind(
            work='site-record',
            tier='lookup',
            rate=2.0,
            deadline_s=10.0,
            service='site-records',
            path='/record',
            method='GET',
        ),
        Kind(
            work='send-alert',
            tier='notice',
            rate=0.5,
            deadline_s=20.0,
            service='alerts',
            path='/send',
            repeatable=False,
        ),
    ),
)

PRAIRIE = Workload(
    name='prairie',
    model='proofreader',
    customers={
        'town-press': 0.35,
        'school-board': 0.35,
        'lakeside-books': 0.15,
        'county-gazette': 0.1,
        'resident-desk': 0.05,
    },
    kinds=(
        Kind(
            work='manuscript-pass',
            tier='manuscript',
            rate=0.6,
            deadline_s=180.0,
            prompt_tokens=(4000, 30000),
            output_tokens=(400, 1200),
            documents=30,
        ),
        Kind(
            work='style-answer',
            tier='style',
            rate=4.0,
            deadline_s=20.0,
            prompt_tokens=(60, 300),
            output_tokens=(40, 100),
        ),
        Kind(
            work='submission-tags',
            tier='overnight',
            rate=6.0,
            deadline_s=3600.0,
            promised=False,
            prompt_tokens=(200, 1500),
            output_tokens=(4, 12),
        ),
        Kind(
            work='payout',
            tier='accounts',
            rate=0.5,
            deadline_s=10.0,
            service='payments',
            path='/payout',
            repeatable=False,
        ),
        Kind(
            work='balance',
            tier='accounts',
            rate=1.0,
            deadline_s=10.0,
            service='accounts',
            path='/balance',
            method='GET',
        ),
    ),
)

WORKLOADS = {workload.name: workload for workload in (ANKOBRA, PRAIRIE)}
