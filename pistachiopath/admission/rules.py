"""Rules of the active configuration for requests."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from ..errors.admission import BadRequest
from .rate_limit import TokenBucket

if TYPE_CHECKING:
    from ..configuration.configuration import Configuration, Customer, WorkClass


class Rules:
    """Looks up customers and work classes and applies customers' limits.

    All failures are raised as `BadRequest`, before the request runs.  The use
    of customers' limits is taken over from the rules `before`, so that a new
    configuration does not refill them.
    """

    def __init__(
        self, *, configuration: Configuration, before: Rules | None = None
    ) -> None:
        self.configuration = configuration
        self._customers = {c.key_sha256: c for c in configuration.customers}
        self._models = {w.name: w for w in configuration.work if w.model}
        self._services = {
            (w.service, w.path): w for w in configuration.work if w.service
        }
        old_buckets = before._buckets if before else {}
        names = {c.name for c in configuration.customers}
        self._buckets = {name: b for name, b in old_buckets.items() if name in names}

    def customer(self, key: str) -> Customer:
        """Return the customer of a bearer key."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        customer = self._customers.get(digest)
        if customer is None:
            raise BadRequest(
                code='unauthenticated',
                detail='no customer has this key',
                http_status=401,
            )
        return customer

    def model_work(self, name: str) -> WorkClass:
        """Return the work class that a caller names as its model."""
        work = self._models.get(name)
        if work is None:
            raise BadRequest(
                code='unknown_model',
                detail='no work class of that name',
                http_status=404,
            )
        return work

    def service_work(self, service: str, path: str) -> WorkClass:
        """Return the work class of a path of a plain service."""
        work = self._services.get((service, path))
        if work is None:
            raise BadRequest(
                code='unknown_service',
                detail='no work class for that service and path',
                http_status=404,
            )
        return work

    def model_names(self) -> list[str]:
        """Return the names that callers may give as their model."""
        return sorted(self._models)

    def limit(self, customer: Customer, now: float) -> None:
        """Count a request against its customer's limit."""
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = TokenBucket(
                rate=customer.requests_per_s,
                burst=customer.burst,
                level=customer.burst,
                updated_at=now,
            )
            self._buckets[customer.name] = bucket
        bucket.change(customer.requests_per_s, customer.burst)
        wait_s = bucket.take(now)
        if wait_s > 0:
            raise BadRequest(
                code='customer_limit',
                detail='more requests than the customer is allowed',
                http_status=429,
                retry_after_ms=int(wait_s * 1000) + 1,
            )
