"""Settings of a control replica."""

from __future__ import annotations

import attrs

from ..configuration.value_types import Address, OptionalAddress, Secret


@attrs.define(kw_only=True, frozen=True)
class ControlSettings:
    """Settings file of `pistachiopath-control`.

    `controls` lists the addresses of all replicas, this one included.
    """

    address: Address
    controls: tuple[Address, ...]
    data_folder: str
    secret: Secret
    operator_secret: Secret
    zone: str = ''
    name: str = 'control'
    log_level: str = 'info'
    metrics: OptionalAddress = OptionalAddress('')
