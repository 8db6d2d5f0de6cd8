from __future__ import annotations

import contextlib
import json
import tempfile
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.agent.settings import AgentSettings
from pistachiopath.configuration.toml_file import load, structure
from pistachiopath.control.settings import ControlSettings
from pistachiopath.entry.settings import EntrySettings
from pistachiopath.errors.settings import InvalidFile
from pistachiopath.operator.settings import OperatorSettings
from pistachiopath.platform.settings import PlatformSettings

PROGRAMS = {
    'agent': AgentSettings,
    'control': ControlSettings,
    'entry': EntrySettings,
    'operator': OperatorSettings,
}


@pytest.mark.parametrize('program', PROGRAMS)
def test_example_settings_are_valid(examples, program):
    load(examples / 'settings' / f'{program}.toml', PROGRAMS[program])


def test_bad_addresses_and_secrets_are_findings(snapshot):
    data = {
        'name': 'entry',
        'zone': 'dc1',
        'http': 'localhost:8080',
        'controls': ['10.0.0.1:7001', '10.0.0.2', '10.0.0.3:99999'],
        'secret': 'short',
    }
    with pytest.raises(InvalidFile) as exc:
        structure(data, EntrySettings, 'entry.toml')
    assert str(exc.value) == snapshot


PLATFORM = {'name': 'n', 'role': 'r', 'zone': 'z', 'ip': '10.0.0.1', 'ports': [7000]}


def toml(**changes):
    fields = PLATFORM | changes
    return ''.join(f'{k} = {json.dumps(v)}\n' for k, v in fields.items()).encode()


ODD_SETTINGS = {
    'digits': toml() + b'announce_ms = ' + b'9' * 5000,
    'nested': toml() + b'seeds = ' + b'[' * 100_000,
    'infinite': toml() + b'grace_s = inf',
    'no number': toml() + b'announce_ms = nan',
    'large': toml(tolerated_losses=10**30),
    'large time': toml(announce_ms=10**400),
    'no ports': toml(ports=[]),
    'port out of range': toml(ports=[65535]),
    'negative port': toml(ports=[-1]),
    'not utf-8': b'name = "\xff"',
}


@pytest.mark.parametrize('name', ODD_SETTINGS)
def test_odd_settings_of_the_platform_are_findings(name, tmp_path):
    # Regression: a changed file with such a value ended the greenlet that watches it.
    path = tmp_path / 'settings.toml'
    path.write_bytes(toml())
    assert load(path, PlatformSettings).control_port == 7000
    path.write_bytes(ODD_SETTINGS[name])
    with pytest.raises(InvalidFile) as exc:
        load(path, PlatformSettings)
    assert str(exc.value)


@given(st.binary(max_size=40), st.sampled_from(sorted(PLATFORM)))
def test_any_file_gives_settings_or_findings(data, key):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.toml'
        for content in (data, toml() + data, toml().replace(key.encode(), data)):
            path.write_bytes(content)
            with contextlib.suppress(InvalidFile):
                assert load(path, PlatformSettings).seed_nodes == ()
