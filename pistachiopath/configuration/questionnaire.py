"""The questionnaire from which the configuration is generated."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class DeploymentAnswer:
    """Who runs the deployment."""

    name: str


@attrs.define(kw_only=True, frozen=True)
class TierAnswer:
    """A priority tier; tiers are listed from the most to the least urgent."""

    name: str
    promised: bool
    deadline_s: float


@attrs.define(kw_only=True, frozen=True)
class CustomerAnswer:
    """A customer and its size: `small`, `medium` or `large`."""

    name: str
    key_sha256: str
    size: str = 'small'


@attrs.define(kw_only=True, frozen=True)
class WorkAnswer:
    """A kind of request, named by callers as `name`."""

    name: str
    tier: str
    model: str = ''
    service: str = ''
    path: str = ''
    may_repeat: bool = True
    deadline_s: float = 0.0
    typical_output_tokens: int = 256


@attrs.define(kw_only=True, frozen=True)
class ModelAnswer:
    """A model, its version and adapters, and how many targets should serve it."""

    name: str
    version: str = '1'
    adapters: tuple[str, ...] = ()
    replicas: int = 0


@attrs.define(kw_only=True, frozen=True)
class Questionnaire:
    """An answered questionnaire."""

    deployment: DeploymentAnswer
    tiers: tuple[TierAnswer, ...]
    customers: tuple[CustomerAnswer, ...]
    work: tuple[WorkAnswer, ...]
    models: tuple[ModelAnswer, ...] = ()


BLANK = """\
# Questionnaire of pistachiopath.  Answer it, then run
#   pistachiopath generate answers.toml --output configuration.json
#   pistachiopath accept configuration.json --settings operator.toml

[deployment]
name = ""                  # who runs this

# Tiers, from the most to the least urgent.  A promised tier is never shed
# while one that is not promised is being served.
[[tiers]]
name = "filing"
promised = true
deadline_s = 120.0         # seconds from the request to its whole answer

[[tiers]]
name = "overnight"
promised = false
deadline_s = 3600.0

# Customers.  `pistachiopath make-key` prints a key and its SHA-256; only the
# SHA-256 is written here.
[[customers]]
name = ""
key_sha256 = ""
size = "small"             # small, medium or large

# Kinds of work.  Callers give `name` as their model, or call
# /services/<service><path>.  Exactly one of model and service is answered.
[[work]]
name = "report"
tier = "filing"
model = "report-model"
typical_output_tokens = 800

[[work]]
name = "payout"
tier = "filing"
service = "payments"
path = "/payout"
may_repeat = false         # false: never run twice, not even after a failure
deadline_s = 10.0

# Models and how many targets are to serve each.
[[models]]
name = "report-model"
version = "1"
replicas = 1
"""
