"""Settings of a control replica."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class ControlSettings:
    """Settings file of `pistachiopath-control`.

    `controls` lists the addresses of all replicas, this one included.
    """

    address: str
    controls: tuple[str, ...]
    data_folder: str
    secret: str
    operator_secret: str
    zone: str = ''
    name: str = 'control'
    log_level: str = 'info'
    metrics: str = ''
