"""Looks up a program's class by the program's name."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..telemetry.metrics import Metrics
    from .program import Program
    from .settings import PlatformSettings

# Module and class of each program.
PROGRAMS = {
    'agent': ('agent_program', 'AgentProgram'),
    'control': ('control_program', 'ControlProgram'),
    'entry': ('entry_program', 'EntryProgram'),
}


def program_class(name: str) -> Callable[[PlatformSettings, Metrics], Program]:
    """Return the class of a program without importing the other programs."""
    module, cls = PROGRAMS[name]
    return getattr(importlib.import_module(f'.{module}', __package__), cls)
