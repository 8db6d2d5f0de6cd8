"""All message types in the order of their ordinals in the schema.

A type is identified by its path below the package and imported on first use:
most programs use only a few types, and creating all classes would delay the
start of a program.
"""

from __future__ import annotations

import importlib

# Append only: the position of a type is its number on the wire.
MESSAGE_PATHS = (
    'messages.session.Challenge',
    'messages.session.Hello',
    'messages.session.Welcome',
    'messages.session.Rejected',
    'messages.claims.Bind',
    'messages.claims.Release',
    'messages.claims.Refuse',
    'messages.claims.ClaimReply',
    'messages.claims.Finish',
    'messages.claims.Done',
    'messages.dispatch.Dispatch',
    'messages.dispatch.Attach',
    'messages.dispatch.Accepted',
    'messages.dispatch.NotStarted',
    'messages.dispatch.NotHeld',
    'messages.dispatch.Chunk',
    'messages.dispatch.End',
    'messages.dispatch.Cancel',
    'messages.membership.Register',
    'messages.membership.Registered',
    'messages.membership.Heartbeat',
    'messages.membership.HeartbeatAck',
    'messages.membership.CrashReport',
    'messages.membership.ViewRequest',
    'messages.membership.View',
    'messages.status.StatusRequest',
    'messages.status.Status',
    'messages.configuration.Accept',
    'messages.configuration.AcceptReply',
    'messages.configuration.ConfigurationRequest',
    'messages.configuration.ConfigurationReply',
    'messages.replication.VoteRequest',
    'messages.replication.VoteReply',
    'messages.replication.Append',
    'messages.replication.AppendReply',
    'messages.replication.InstallSnapshot',
    'messages.replication.SnapshotReply',
    'messages.replication.Probe',
    'messages.replication.ProbeReply',
    'messages.replication.Form',
    'messages.replication.NotLeader',
    'messages.replication.Entry',
    'messages.state.StateHeader',
    'messages.state.TargetRecord',
    'claims.claim.Claim',
    'quarantine.suspects.Suspect',
    'messages.membership.Retire',
    'messages.fencing.IssueFence',
    'messages.fencing.FenceIssued',
    'messages.replication.Member',
    'messages.storage.StoredVote',
    'messages.storage.SnapshotHead',
    'messages.fencing.LoadedModel',
    'messages.fencing.Order',
    'messages.fencing.OrderReply',
    'messages.claims.Inquire',
    'messages.directory.ReplicaRecord',
    'messages.directory.Follow',
    'messages.directory.News',
    'messages.directory.Announcements',
    'messages.document.PutDocument',
    'messages.document.PutReply',
    'messages.document.ReadDocument',
    'messages.document.DocumentReply',
    'messages.grants.Ask',
    'messages.grants.Granted',
    'messages.grants.Denied',
    'messages.grants.ReleasePlace',
    'messages.grants.WatchLoad',
    'messages.grants.GateLoad',
    'messages.allowance.UseReport',
    'messages.quarantine.CrashMarks',
    'messages.allowance.AllowanceLeases',
    'messages.allowance.Borrow',
    'messages.allowance.Borrowed',
    'messages.streams.StreamOrigins',
    'messages.replication.AppendPart',
    'messages.replication.AppendPartReply',
    'messages.rollouts.PastOrder',
    'messages.rollouts.RolloutRecord',
    'messages.rollout_orders.OrderRollout',
    'messages.rollout_orders.AdvanceRollout',
    'messages.rollout_orders.ReadRollout',
    'messages.rollout_orders.RolloutReply',
    'messages.rollouts.RolloutNotice',
    'messages.rollout_totals.TimeSums',
    'messages.rollout_totals.VersionTotals',
    'messages.rollout_totals.OrderTotals',
    'messages.rollout_totals.RolloutTotals',
    'messages.rollout_orders.DocumentSnapshot',
)


def message_type(path: str) -> type:
    """Return the class at a path of `MESSAGE_PATHS`.

    >>> message_type('messages.session.Hello').__name__
    'Hello'
    """
    module, _, name = path.rpartition('.')
    return getattr(importlib.import_module(f'..{module}', __package__), name)


def message_types() -> tuple[type, ...]:
    """Return all message types, in the order of their ordinals."""
    return tuple(message_type(path) for path in MESSAGE_PATHS)
