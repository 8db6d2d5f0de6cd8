"""Request scheduler for language-model engines of unlike kind."""

from __future__ import annotations

__version__ = '0.1.0'
