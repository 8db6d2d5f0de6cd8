"""Opens an entry's listening socket before most of its modules are imported."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

from ..util.early_listener import open_early

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

SETTINGS_VARIABLE = 'PISTACHIOPATH_SETTINGS'


def listen_early(args: Sequence[str], environ: Mapping[str, str]) -> None:
    """Listen for callers if the command line arguments `args` start an entry.

    Invalid settings are ignored here; the program reports them later.
    """
    if list(args[:1]) != ['entry'] or '--check' in args:
        return
    try:
        with open(environ.get(SETTINGS_VARIABLE, ''), 'rb') as file:
            address = tomllib.load(file).get('callers')
    except (OSError, ValueError):
        return
    if isinstance(address, str):
        open_early(address)
