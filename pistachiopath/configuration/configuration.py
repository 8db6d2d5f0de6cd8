"""The configuration that is in force for the whole deployment."""

from __future__ import annotations

import json

import attrs

from .toml_file import structure


@attrs.define(kw_only=True, frozen=True)
class Tier:
    """A tier of requests; a lower rank goes first.

    Promised tiers are never shed while a tier that is not is being served.
    """

    name: str
    rank: int
    promised: bool
    deadline_s: float


@attrs.define(kw_only=True, frozen=True)
class Customer:
    """A customer, the SHA-256 of its key and its limit of requests."""

    name: str
    key_sha256: str
    requests_per_s: float
    burst: int


@attrs.define(kw_only=True, frozen=True)
class WorkClass:
    """A kind of work that callers name, on a model or a plain service.

    `name` is what callers give as `model`, or `service` and the path below
    `/services/<service>/`.  Token counts are typical sizes.
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
    """A model and how many targets are to serve it."""

    name: str
    version: str = '1'
    adapters: tuple[str, ...] = ()
    replicas: int = 0


@attrs.define(kw_only=True, frozen=True)
class Configuration:
    """Everything that operators decide, generated from a questionnaire."""

    deployment: str
    tiers: tuple[Tier, ...]
    customers: tuple[Customer, ...]
    work: tuple[WorkClass, ...]
    models: tuple[ModelPlacement, ...] = ()

    def tier(self, name: str) -> Tier:
        """Return a tier by its name."""
        return next(tier for tier in self.tiers if tier.name == name)

    def to_bytes(self) -> bytes:
        """Return the canonical form: equal content gives equal bytes."""
        data = attrs.asdict(self)
        return json.dumps(data, sort_keys=True, separators=(',', ':')).encode()

    @classmethod
    def from_bytes(cls, content: bytes) -> Configuration:
        """Return the configuration of a canonical form."""
        try:
            data = json.loads(content)
        except ValueError:
            data = None
        return structure(data, cls, 'configuration')


def placements_of(content: bytes) -> tuple[ModelPlacement, ...]:
    """Return the models of a configuration; none before the first."""
    return Configuration.from_bytes(content).models if content else ()
