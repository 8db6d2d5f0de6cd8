"""All programs of a deployment."""

from __future__ import annotations

import logging
import signal
import time
from typing import TYPE_CHECKING

import gevent

from .operations import OwnEnd
from .program import Program
from .topology import zone_of

if TYPE_CHECKING:
    from pathlib import Path

    from .bounds import Bounds
    from .guard import Guard
    from .history import History
    from .topology import Topology

logger = logging.getLogger(__name__)

WATCH_INTERVAL_S = 0.1
RESTART_PAUSE_S = 0.5


class Fleet:
    """Starts the programs and starts again those that end by themselves."""

    def __init__(
        self, *, topology: Topology, folder: Path, guard: Guard, history: History
    ) -> None:
        self._topology = topology
        self._history = history
        self.programs = {
            name: Program(
                name=name,
                role=name.partition('-')[0],
                settings=_settings(topology, name, folder, history.bounds),
                folder=folder,
                guard=guard,
            )
            for name in topology.program_names
        }

    def start(self) -> None:
        """Start all programs at about the same time."""
        for program in self.programs.values():
            program.start()

    def watch(self) -> None:
        """Record programs that end by themselves and start them again, for ever."""
        while True:
            for program in self.programs.values():
                code = program.code()
                if code is None or program.is_down:
                    continue
                program.is_down = True
                end = OwnEnd(program=program.name, at=time.monotonic(), code=code)
                self._history.own_ends.append(end)
                logger.error(
                    'program_ended', extra={'program': program.name, 'code': code}
                )
                gevent.spawn_later(RESTART_PAUSE_S, program.start)
            gevent.sleep(WATCH_INTERVAL_S)

    def stop_gracefully(self, name: str, grace_s: float) -> None:
        """Stop a program; kill it after the grace."""
        program = self.programs[name]
        program.is_down = True
        program.signal(signal.SIGTERM)
        until = time.monotonic() + grace_s
        while program.code() is None and time.monotonic() < until:
            gevent.sleep(WATCH_INTERVAL_S)
        program.kill()

    def starts(self, name: str) -> int:
        """Return how often a program was started."""
        return self.programs[name].starts

    def close(self) -> None:
        """Kill all programs, and read from their logs which errors they had."""
        for program in self.programs.values():
            program.kill()
            self._history.errors += program.uncaught_errors()


def _settings(topology: Topology, name: str, folder: Path, bounds: Bounds) -> dict:
    """Return the settings of a program, as the deployment's template renders them."""
    settings = {
        'name': name,
        'role': name.partition('-')[0],
        'zone': zone_of(name),
        'ip': topology.ip(name),
        'advertise_ip': topology.advertise_ip(name),
        'ports': [topology.nodes_port, topology.nodes_port + 2],
        'seeds': [topology.link(node) for node in topology.control_names],
        'announce_ms': bounds.announce_s * 1000,
        'grace_s': bounds.grace_s,
        'retry_ratio': bounds.retry_ratio,
        'retry_slack': bounds.retry_slack,
        'retry_window_s': bounds.retry_window_s,
        'allowance_overage': bounds.allowance_overage,
        'allowance_slack_tokens': bounds.allowance_slack_tokens,
        'tolerated_losses': 1,
    }
    match name.partition('-')[0]:
        case 'entry':
            settings['callers'] = topology.address(name)
            settings['readiness'] = topology.readiness(name)
        case 'control':
            settings['control'] = topology.address(name)
            if name in topology.control_names:
                data_folder = folder / f'{name}.data'
                data_folder.mkdir(exist_ok=True)
                settings['data_folder'] = str(data_folder)
        case 'agent':
            settings['engine'] = topology.link(name.removeprefix('agent-'))
    return settings
