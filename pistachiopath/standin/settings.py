"""Settings of a stand-in."""

from __future__ import annotations

import attrs

from ..engine.profile import EngineProfile


@attrs.define(kw_only=True, frozen=True)
class StandinSettings:
    """Settings file of `pistachiopath-standin`.

    `kind` is `engine` or `service`.  An engine ends its process when a
    prompt holds `crash_on`.  Lags are in seconds.
    """

    kind: str
    listen: str
    name: str = 'standin'
    log_level: str = 'warning'
    profile: EngineProfile = EngineProfile()
    report_lag_s: float = 0.2
    crash_on: str = ''
    checks_fence: bool = True
    service_time_s: float = 0.005
