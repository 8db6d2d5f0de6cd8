"""One program of the platform as a process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import gevent
import tomli_w

from . import disturbed_program
from .operations import UncaughtError

if TYPE_CHECKING:
    from .disturbed_program import Disturbance
    from .guard import Guard

SETTINGS_VARIABLE = 'PISTACHIOPATH_SETTINGS'
INTERPRETER_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.02
# From the start of the interpreter to that of a program's first module.
MAIN_MODULE_S = 0.4
# Log line of an event loop that stands still.
STALLED = 'hub_stalled'
MAX_FRAMES_TEXT = 180


class Program:
    """Starts a program, sends it signals and starts it again.

    `is_down` tells that somebody has ended it on purpose.
    """

    def __init__(
        self, *, name: str, role: str, settings: dict, folder: Path, guard: Guard
    ) -> None:
        self.name = name
        self.settings = settings
        self.starts = 0
        self.is_down = True
        self._role = role
        self._guard = guard
        self._path = folder / f'{name}.toml'
        self._disturbance_path = folder / f'{name}.disturbance'
        self._log = folder / f'{name}.log'
        self._process: subprocess.Popen | None = None
        self._is_guarded = False

    @property
    def pid(self) -> int:
        """Id of the newest process."""
        return self._process.pid

    def start(self) -> None:
        """Start a process unless one runs.

        Only the first start is that of a new deployment.
        """
        if self._process is not None and self.code() is None:
            return
        self.starts += 1
        is_first = self.starts == 1 and self._role == 'control'
        self._write(self.settings | {'is_first_start': is_first})
        command = [sys.executable, '-m', disturbed_program.__name__, self._role]
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ
                | {
                    SETTINGS_VARIABLE: str(self._path),
                    disturbed_program.FILE_VARIABLE: str(self._disturbance_path),
                },
                process_group=0,
            )
        self._guard.add(self.pid)
        self._is_guarded = True
        self.is_down = False

    def disturb(self, disturbance: Disturbance) -> None:
        """Say what is wrong with the program's clock and storage from now on."""
        disturbance.save(self._disturbance_path)

    def change_settings(self, **changes: object) -> None:
        """Write changed settings and tell the program by a signal.

        A signal that comes before the interpreter runs would end any program.
        """
        self.settings |= changes
        self._write(self.settings | {'is_first_start': False})
        until = time.monotonic() + INTERPRETER_TIMEOUT_S
        while not self._has_interpreter() and time.monotonic() < until:
            gevent.sleep(POLL_INTERVAL_S)
        gevent.sleep(MAIN_MODULE_S)
        self.signal(signal.SIGHUP)

    def _has_interpreter(self) -> bool:
        """Return whether the process runs Python, which ignores SIGPIPE first."""
        try:
            status = Path(f'/proc/{self.pid}/status').read_text()
        except OSError:
            return False
        ignored = int(status.partition('SigIgn:')[2].split()[0], 16)
        return bool(ignored & 1 << signal.SIGPIPE - 1)

    def _write(self, settings: dict) -> None:
        """Replace the settings file as a whole."""
        new = self._path.with_suffix('.new')
        new.write_text(tomli_w.dumps(settings))
        new.replace(self._path)

    def signal(self, number: int) -> None:
        """Send a signal if the process still runs."""
        if self.code() is None:
            self._process.send_signal(number)

    def code(self) -> int | None:
        """Return the exit code of the newest process, None while it runs."""
        if self._process is None:
            return None
        code = self._process.poll()
        if code is not None and self._is_guarded:
            self._is_guarded = False
            self._guard.remove(self.pid)
        return code

    def uncaught_errors(self) -> list[UncaughtError]:
        """Return the errors that tracebacks in the log end with, and stalls.

        A traceback is cut, and left out, if the process was killed within it.
        """
        errors = []
        is_in_traceback = False
        for line in self._log.read_text(errors='replace').splitlines():
            is_cut = line.startswith('at=')
            if is_cut and f'msg={STALLED}' in line:
                frames = line.partition('frames=')[2][-MAX_FRAMES_TEXT:]
                text = f'{STALLED} {frames}'
                errors.append(UncaughtError(program=self.name, text=text))
            if is_in_traceback and not line.startswith(' ') and not is_cut:
                errors.append(UncaughtError(program=self.name, text=line[:200]))
            is_in_traceback = line.startswith('Traceback') or (
                is_in_traceback and line.startswith(' ')
            )
        return errors

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.is_down = True
        if self._process is None:
            return
        self.signal(signal.SIGKILL)
        self._process.wait()
        self.code()
