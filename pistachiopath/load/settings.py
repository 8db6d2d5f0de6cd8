"""Settings of the load tool."""

from __future__ import annotations

import attrs

from ..configuration.value_types import Address


@attrs.define(kw_only=True, frozen=True)
class LoadSettings:
    """Settings file of `pistachiopath-load`.

    A customer's key is `key_prefix` followed by its name.
    """

    entries: tuple[Address, ...]
    workload: str
    key_prefix: str
    duration_s: float = 10.0
    scale: float = 1.0
    burst: float = 1.0
    seed: int = 1
    name: str = 'load'
    log_level: str = 'warning'
