"""Settings of the operators' command line."""

from __future__ import annotations

import attrs

from ..configuration.value_types import Address, Secret


@attrs.define(kw_only=True, frozen=True)
class OperatorSettings:
    """Settings file of `pistachiopath`."""

    controls: tuple[Address, ...]
    operator_secret: Secret
    name: str = 'operator'
    timeout_s: float = 20.0
    log_level: str = 'warning'
