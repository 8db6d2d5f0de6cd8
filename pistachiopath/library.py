"""Public API of the coordination parts, for programs that embed them."""

from __future__ import annotations

from .admission.rate_limit import TokenBucket
from .claims.flow import RequestFlow
from .claims.identity import claim_key, fingerprint, make_request_id
from .claims.status import ClaimStatus
from .claims.submission import Submission
from .claims.table import ClaimTable
from .fencing.order_gate import OrderGate
from .fencing.reconciler import Reconciler
from .gate.gate import Gate
from .gate.limits import GateLimits
from .messages.claims import Bind, ClaimReply, OutcomeRecord, Refuse, Release
from .messages.dispatch import Attach, Dispatch, Work
from .messages.fencing import Order
from .messages.membership import Heartbeat, View
from .quarantine.crash_watch import CrashWatch
from .quarantine.suspects import Suspects
from .replication.group import Group
from .replication.leader_client import LeaderClient
from .replication.persisted import Persisted
from .replication.replica import Replica
from .replication.timing import Timing
from .routing.chooser import Choice, Chooser, NoTarget
from .routing.earliest_finish import EarliestFinish
from .routing.targets import TargetTable

__all__ = [
    'Attach',
    'Bind',
    'Choice',
    'Chooser',
    'ClaimReply',
    'ClaimStatus',
    'ClaimTable',
    'CrashWatch',
    'Dispatch',
    'EarliestFinish',
    'Gate',
    'GateLimits',
    'Group',
    'Heartbeat',
    'LeaderClient',
    'NoTarget',
    'Order',
    'OrderGate',
    'OutcomeRecord',
    'Persisted',
    'Reconciler',
    'Refuse',
    'Release',
    'Replica',
    'RequestFlow',
    'Submission',
    'Suspects',
    'TargetTable',
    'Timing',
    'TokenBucket',
    'View',
    'Work',
    'claim_key',
    'fingerprint',
    'make_request_id',
]
