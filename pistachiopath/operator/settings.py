"""Settings of the operators' command line."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class OperatorSettings:
    """Settings file of `pistachiopath`."""

    controls: tuple[str, ...]
    operator_secret: str
    name: str = 'operator'
    timeout_s: float = 20.0
    log_level: str = 'warning'
