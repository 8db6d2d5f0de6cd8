"""Allowances of customers over all entries together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.allowance import CustomerUse, UseReport

if TYPE_CHECKING:
    from ..routes.customer_account import CustomerAccount

PEER_LIVE_S = 0.3
# Parts that are cut off from each other may share an entry that hears both.
OVERLAP_SAFETY = 0.8
PEER_FORGET_S = 30.0
# Copies differ by what is under way: one bucket in one place would let some of
# what they refuse through.  This part of the overage makes up for it, the rest
# is for what passes before the copies hear of each other.
OVERAGE_SHARE = 0.5
# An entry that ends is back no sooner: for so long it has let nothing through.
RESTART_S = 0.4


@attrs.define(kw_only=True)
class _Bucket:
    """What is left of an allowance; below zero others have used it.

    `is_shared` is set once all other entries were heard since the start.
    """

    level: float = 0.0
    used: float = 0.0
    updated_at: float
    is_shared: bool = False


@attrs.define(kw_only=True)
class _Peer:
    """Another entry and the totals that it last told."""

    heard_at: float
    started_ms: int
    totals: dict[str, int]
    hears: int


class SharedAllowance:
    """A token bucket a customer, from which every entry takes.

    Entries tell each other what they have let through; each refills its copy
    of a bucket by the part of the allowance that belongs to the entries it
    hears.  Cut off alone it therefore lets through its own share.  `overage` is
    the part by which all entries together may go beyond an allowance.

    `now` is a monotonic clock in seconds; costs are in the customer's unit.
    """

    def __init__(self, *, started_ms: int, overage: float = 0.0) -> None:
        self._headroom = 1.0 + OVERAGE_SHARE * overage
        self._started_ms = started_ms
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _Peer] = {}
        self._known_entries = 1

    def set_known_entries(self, number: int) -> None:
        """Take in how many entries there are, this one included."""
        self._known_entries = max(1, number)

    def adopt(self, customers: tuple[CustomerAccount, ...], now: float) -> None:
        """Follow a new configuration; only new customers begin with a full one."""
        names = {c.name for c in customers}
        self._buckets = {n: b for n, b in self._buckets.items() if n in names}
        for customer in customers:
            if customer.name not in self._buckets:
                self._buckets[customer.name] = _Bucket(
                    level=customer.burst * self.share(now), updated_at=now
                )

    def take(self, customer: CustomerAccount, cost: float, now: float) -> float:
        """Take a cost; return 0, or the seconds until there will be enough.

        The customer must be one of those last adopted.
        """
        if customer.rate_per_s <= 0:
            return 0.0
        bucket = self._refilled(customer, now)
        if bucket.level < min(cost, customer.burst):
            missing = min(cost, customer.burst) - bucket.level
            return missing / customer.rate_per_s
        bucket.level -= cost
        bucket.used += cost
        return 0.0

    def give_back(self, customer: CustomerAccount, cost: float) -> None:
        """Return the cost of a request that did not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None and customer.rate_per_s > 0:
            bucket.level += cost
            bucket.used -= cost

    def report(self, now: float) -> UseReport:
        """Return what this entry has let through since its start."""
        return UseReport(
            started_ms=self._started_ms,
            uses=tuple(
                CustomerUse(customer=name, total=int(bucket.used))
                for name, bucket in self._buckets.items()
            ),
            heard=1 + len(self._live_peers(now)),
        )

    def heard(self, sender: str, body: UseReport, now: float) -> None:
        """Take in what another entry has let through."""
        totals = {use.customer: use.total for use in body.uses}
        peer = self._peers.get(sender)
        if peer is not None and peer.started_ms == body.started_ms:
            self._take_off(peer, totals, now)
        # What a peer used before it was first heard is long refilled.
        self._peers[sender] = _Peer(
            heard_at=now, started_ms=body.started_ms, totals=totals, hears=body.heard
        )

    def _take_off(self, peer: _Peer, totals: dict[str, int], now: float) -> None:
        """Take off what a peer has used since it was last heard.

        What it used while it was not counted here came out of its own share,
        by which the copy here was not refilled.
        """
        silent_s = now - peer.heard_at
        counted = min(1.0, PEER_LIVE_S / silent_s) if silent_s > 0 else 1.0
        for name, total in totals.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level -= counted * (total - peer.totals.get(name, 0))

    def share(self, now: float) -> float:
        """Return the part of all allowances that this entry and its peers hold.

        Where all of them hear as many entries as this one, the parts of all
        entries together are no more than the whole: others ended, or hear only
        each other.  Otherwise some hear both sides of a cut.
        """
        live = self._live_peers(now)
        heard = 1 + len(live)
        if heard >= self._known_entries:
            return 1.0
        part = heard / self._known_entries
        if all(peer.hears == heard for peer in live):
            return part
        return OVERLAP_SAFETY * part

    def _live_peers(self, now: float) -> list[_Peer]:
        """Return the other entries that are heard, and forget those long gone."""
        for name, peer in list(self._peers.items()):
            if now - peer.heard_at >= PEER_FORGET_S:
                del self._peers[name]
        return [p for p in self._peers.values() if now - p.heard_at < PEER_LIVE_S]

    def _refilled(self, customer: CustomerAccount, now: float) -> _Bucket:
        bucket = self._buckets[customer.name]
        share = self.share(now)
        factor = self._headroom if share >= 1.0 else share
        gained = (now - bucket.updated_at) * customer.rate_per_s * factor
        bucket.level = min(customer.burst * share, bucket.level + gained)
        bucket.updated_at = now
        if not bucket.is_shared and share >= 1.0:
            bucket.is_shared = True
            bucket.level = max(bucket.level, self._least_level(customer, bucket))
        return bucket

    def _least_level(self, customer: CustomerAccount, bucket: _Bucket) -> float:
        """Return what is left at least if all entries began lately.

        Whatever their predecessors used, the allowance grew while these were
        gone, and what was used since is known.  Where one entry began long
        ago it has used more than that, and this says nothing.
        """
        peers = sum(peer.totals.get(customer.name, 0) for peer in self._peers.values())
        grown = min(customer.burst, customer.rate_per_s * RESTART_S)
        return grown - peers - bucket.used
