"""The configuration that is in force for the whole deployment."""

from __future__ import annotations

import json

import attrs

from .toml_file import structure


@attrs.define(kw_only=True, frozen=True)
class Tier:
    """A priority tier of requests; lower ranks are served first.

    Requests of a promised tier are never shed while requests of a tier that is
    not promised are being served.
    """

    name: str
    rank: int
    promised: bool
    deadline_s: float


@attrs.define(kw_only=True, frozen=True)
class Customer:
    """A customer, the SHA-256 of its key and its request rate limit."""

    name: str
    key_sha256: str
    requests_per_s: float
    burst: int


@attrs.define(kw_only=True, frozen=True)
class WorkClass:
    """A kind of request, served by a model or a plain service.

    Callers give `name` as their `model`, or call `/services/<service><path>`
    for work on a plain service.  `output_tokens` is a typical count.
    """

    name: str
    tier: str
    model: str = ''
    service: str = ''
    path: str = ''
    idempotent: bool = True
    deadline_s: float = 0.0
    output_tokens: int = 256


@attrs.define(kw_only=True, frozen=True)
class ModelPlacement:
    """A model and the number of targets that should serve it."""

    name: str
    version: str = '1'
    adapters: tuple[str, ...] = ()
    replicas: int = 0


@attrs.define(kw_only=True, frozen=True)
class Configuration:
    """The operators' decisions, generated from an answered questionnaire."""

    deployment: str
    tiers: tuple[Tier, ...]
    customers: tuple[Customer, ...]
    work: tuple[WorkClass, ...]
    models: tuple[ModelPlacement, ...] = ()

    def tier(self, name: str) -> Tier:
        """Return the tier with this name."""
        return next(tier for tier in self.tiers if tier.name == name)

    def to_bytes(self) -> bytes:
        """Return the canonical encoding; equal configurations give equal bytes."""
        data = attrs.asdict(self)
        return json.dumps(data, sort_keys=True, separators=(',', ':')).encode()

    @classmethod
    def from_bytes(cls, content: bytes) -> Configuration:
        """Decode a configuration; raises `InvalidFile`."""
        try:
            data = json.loads(content)
        except ValueError:
            data = None
        return structure(data, cls, 'configuration')


def placements_of(content: bytes) -> tuple[ModelPlacement, ...]:
    """Return the models of an encoded configuration; none if `content` is empty."""
    return Configuration.from_bytes(content).models if content else ()
