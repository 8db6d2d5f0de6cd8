"""Settings of a stand-in."""

from __future__ import annotations

import attrs

from ..configuration.value_types import Address, OptionalAddress
from ..engine.profile import EngineProfile


@attrs.define(kw_only=True, frozen=True)
class StandinSettings:
    """Settings file of `pistachiopath-standin`.

    `kind` is `engine`, `service` or `weights`.  A weight store serves one
    load at a time, each for `weight_load_s`.  An engine exits its process when
    a prompt contains `crash_on`.  One cache event in `event_gap` is lost, none
    if it is 0.  `kv_blocks_s` is the rate of KV transfers in blocks per second.
    """

    kind: str
    listen: Address
    name: str = 'standin'
    log_level: str = 'warning'
    profile: EngineProfile = EngineProfile()
    report_lag_s: float = 0.2
    event_lag_s: float = 0.2
    event_gap: int = 20
    kv_blocks_s: float = 50_000.0
    crash_on: str = ''
    checks_fence: bool = True
    models: tuple[str, ...] = ()
    weight_store: OptionalAddress = OptionalAddress('')
    weight_load_s: float = 0.5
    service_time_s: float = 0.005
