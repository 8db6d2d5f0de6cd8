from __future__ import annotations

import pytest

from pistachiopath.agent.settings import AgentSettings
from pistachiopath.configuration.toml_file import load, structure
from pistachiopath.control.settings import ControlSettings
from pistachiopath.entry.settings import EntrySettings
from pistachiopath.errors.settings import InvalidFile
from pistachiopath.operator.settings import OperatorSettings

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
