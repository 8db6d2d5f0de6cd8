"""Starts and stops the processes of a small deployment on loopback."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
import tomllib
from typing import TYPE_CHECKING

import tomli_w
import urllib3

from .free_address import free_address

if TYPE_CHECKING:
    from pathlib import Path

SECRET = 'a secret that only this test deployment uses'
OPERATOR_SECRET = 'the secret of its operators'
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
LOG_TAIL_CHARS = 1500

_configurations_by_answers: dict[str, bytes] = {}


def wait_until(condition, what: str, timeout_s: float = START_TIMEOUT_S):
    """Poll a condition; return its first true value or raise `TimeoutError`."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(what)


class Cluster:
    """Processes of one deployment; use as a context manager."""

    def __init__(self, *, folder: Path, controls: int = 3, traces: bool = False):
        self.folder = folder
        self.controls = [free_address() for _ in range(controls)]
        self.entries: dict[str, str] = {}
        self.agents: dict[str, dict] = {}
        self.engines: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, list[str]] = {}
        self._traces = traces
        self.http = urllib3.PoolManager(retries=False, maxsize=64, timeout=60.0)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    # Starting

    def start_controls(self):
        """Start all control replicas."""
        for number, address in enumerate(self.controls):
            name = f'control-{number}'
            self._start_process(
                name,
                'control',
                address=address,
                controls=self.controls,
                data_folder=str(self.folder / name),
                secret=SECRET,
                operator_secret=OPERATOR_SECRET,
                name=name,
                zone=f'dc{number}',
            )
        self.write(
            'operator',
            controls=self.controls,
            operator_secret=OPERATOR_SECRET,
        )

    def start_engine(self, name: str, **settings):
        """Start a stand-in engine."""
        self._start_standin(name, 'engine', settings)

    def start_service(self, name: str, **settings):
        """Start a stand-in plain service."""
        self._start_standin(name, 'service', settings)

    def start_weights(self, name: str, **settings):
        """Start a stand-in weight store."""
        self._start_standin(name, 'weights', settings)

    def start_agent(self, target: str, **settings):
        """Start the agent of an engine or service of the same name."""
        address = free_address()
        self.agents[target] = {'address': address, **settings}
        self._start_process(
            f'agent-{target}',
            'agent',
            target=target,
            name=f'agent-{target}',
            address=address,
            controls=self.controls,
            secret=SECRET,
            engine=self.engines[target],
            **{'zone': 'dc0', **settings},
            **self._trace_setting(f'agent-{target}'),
        )

    def start_entry(self, name: str, **settings):
        """Start an entry."""
        self.entries[name] = free_address()
        self._start_process(
            name,
            'entry',
            name=name,
            http=self.entries[name],
            controls=self.controls,
            secret=SECRET,
            **{'zone': 'dc0', **settings},
            **self._trace_setting(name),
        )

    def restart(self, name: str):
        """Start a process again after its end, with the same settings."""
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[name] = subprocess.Popen(
            self._commands[name], stdout=log, stderr=log
        )

    def _start_standin(self, name: str, kind: str, settings: dict):
        self.engines[name] = free_address()
        self._start_process(
            f'{kind}-{name}',
            'standin',
            kind=kind,
            name=name,
            listen=self.engines[name],
            **settings,
        )

    def _start_process(self, process: str, program: str, **settings):
        path = self.write(process, **settings)
        module = f'pistachiopath.{program}.main'
        self._commands[process] = [
            sys.executable,
            '-m',
            module,
            '--settings',
            str(path),
        ]
        self.restart(process)

    def write(self, stem: str, **settings) -> Path:
        """Write a settings file; return its path."""
        path = self.folder / f'{stem}.toml'
        path.write_text(tomli_w.dumps(settings))
        return path

    def change(self, stem: str, **settings):
        """Change keys of a settings file."""
        path = self.folder / f'{stem}.toml'
        path.write_text(tomli_w.dumps(tomllib.loads(path.read_text()) | settings))

    def _trace_setting(self, name: str) -> dict:
        if not self._traces:
            return {}
        return {'trace_file': str(self.folder / f'{name}.spans')}

    # Operating

    def operate(self, *args: str) -> subprocess.CompletedProcess:
        """Run the operators' program and wait for its end."""
        command = [sys.executable, '-m', 'pistachiopath.operator.main', *args]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    @property
    def operator_settings(self) -> str:
        """Path of the operators' settings file."""
        return str(self.folder / 'operator.toml')

    def accept(self, answers: Path) -> subprocess.CompletedProcess:
        """Generate a configuration from answers and accept it.

        Each configuration is generated only once in a process, because the
        operators' program takes most of a second to start.
        """
        output = self.folder / 'configuration.json'
        text = answers.read_text()
        if text not in _configurations_by_answers:
            result = self.operate('generate', str(answers), '--output', str(output))
            if result.returncode:
                return result
            _configurations_by_answers[text] = output.read_bytes()
        output.write_bytes(_configurations_by_answers[text])
        return self.operate('accept', str(output), '--settings', self.operator_settings)

    def wait_ready(self):
        """Wait until every entry is ready and `status` lists every agent's target."""
        for name in self.entries:
            self._wait_for(
                lambda name=name: self.is_ready(name), f'{name} is not ready'
            )
        self._wait_for(self._all_targets_listed, 'targets are missing')

    def _wait_for(self, condition, what: str):
        """Wait for a condition; on a timeout, report the processes that have ended."""
        try:
            wait_until(condition, what)
        except TimeoutError as exc:
            logs = ''.join(self._log_tail(name) for name in self._ended_processes())
            raise TimeoutError(
                f'{what}; ended: {self._ended_processes()}{logs}'
            ) from exc

    def _ended_processes(self) -> list[str]:
        return [n for n, p in self.processes.items() if p.poll() is not None]

    def _log_tail(self, name: str) -> str:
        text = (self.folder / f'{name}.log').read_text()
        return f'\n--- {name}:\n{text[-LOG_TAIL_CHARS:]}'

    def is_ready(self, entry: str) -> bool:
        """Tell whether the health check of an entry succeeds."""
        try:
            url = f'http://{self.entries[entry]}/healthz'
            return self.http.request('GET', url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _all_targets_listed(self) -> bool:
        status = self.operate('status', '--settings', self.operator_settings)
        lines = status.stdout.splitlines()
        listed_count = sum(1 for line in lines if line.startswith('target '))
        return listed_count >= len(self.agents)

    # Stopping

    def signal(self, name: str, number: int):
        """Send a signal to a process."""
        os.kill(self.processes[name].pid, number)

    def kill(self, name: str):
        """Kill a process and wait for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self, name: str) -> int:
        """Stop a process gracefully; return its exit code."""
        self.processes[name].terminate()
        return self.processes[name].wait(timeout=STOP_TIMEOUT_S)

    def stop_all(self) -> dict[str, int]:
        """Stop all processes gracefully, entries first; return their exit codes."""
        order = ('entry', 'agent', 'engine', 'service', 'weights', 'control')
        codes = {}
        for prefix in order:
            names = [n for n in self.processes if n.startswith(prefix)]
            for name in names:
                self.processes[name].terminate()
            for name in names:
                codes[name] = self.processes[name].wait(timeout=STOP_TIMEOUT_S)
        return codes
