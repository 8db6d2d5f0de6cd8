"""String types in settings files that have their own validation."""

from __future__ import annotations

import ipaddress
from typing import NewType

Address = NewType('Address', str)
OptionalAddress = NewType('OptionalAddress', str)
Secret = NewType('Secret', str)

MIN_SECRET_CHARS = 16
MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def check_address(value: str) -> str:
    """Return `value` if it is an `ip:port`; raises `ValueError`."""
    host, _, port = value.rpartition(':')
    is_bracketed = host.startswith('[') and host.endswith(']')
    try:
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        raise ValueError('not an IP number and port') from None
    if '%' in str(address):
        raise ValueError('not an IP number and port')
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'port must be 1 to {MAX_PORT}')
    return value


def check_optional_address(value: str) -> str:
    """Return `value` if it is an `ip:port` or empty; raises `ValueError`."""
    return check_address(value) if value else value


def check_secret(value: str) -> str:
    """Return `value` if it is long enough for a secret; raises `ValueError`."""
    if len(value) < MIN_SECRET_CHARS:
        raise ValueError(f'shorter than {MIN_SECRET_CHARS} characters')
    return value


CHECKS = {
    Address: check_address,
    OptionalAddress: check_optional_address,
    Secret: check_secret,
}
EXAMPLES = {
    Address: '10.0.0.1:7001',
    OptionalAddress: '10.0.0.1:7001 or nothing',
    Secret: 'a long random string',
}
