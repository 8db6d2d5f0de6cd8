"""Request scheduler for heterogeneous language-model engines.

The coordination parts can be imported from here; see `pistachiopath.library`:

    >>> import pistachiopath
    >>> pistachiopath.ClaimStatus.BOUND.value
    'bound'
"""

from __future__ import annotations

import importlib

__version__ = '0.1.0'


def __getattr__(name: str) -> object:
    """Return a public name of the library, which is imported on first use."""
    library = importlib.import_module('.library', __name__)
    if name in library.__all__:
        return getattr(library, name)
    raise AttributeError(name)
