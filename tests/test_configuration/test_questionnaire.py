from __future__ import annotations

import tomllib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.agent.settings import AgentSettings
from pistachiopath.configuration.configuration import Configuration
from pistachiopath.configuration.generate import generate
from pistachiopath.configuration.questionnaire import BLANK, Questionnaire
from pistachiopath.configuration.toml_file import load, structure
from pistachiopath.errors.settings import InvalidFile

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ['deployment', 'tiers', 'customers', 'work', 'models', 'name', 'tier']
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@pytest.mark.parametrize('name', ['ankobra', 'prairie'])
def test_example_questionnaires_generate_a_configuration(examples, name):
    answers = load(examples / f'{name}.toml', Questionnaire)
    configuration = generate(answers, name)
    content = configuration.to_bytes()
    assert Configuration.from_bytes(content) == configuration
    assert Configuration.from_bytes(content).to_bytes() == content
    assert any(not work.idempotent for work in configuration.work)


def test_every_finding_comes_at_once(snapshot):
    answers = structure(tomllib.loads(BLANK), Questionnaire, 'blank.toml')
    with pytest.raises(InvalidFile) as blank:
        generate(answers, 'blank.toml')
    assert str(blank.value) == snapshot
    with pytest.raises(InvalidFile) as wrong:
        structure(
            {'target': 5, 'zone': 'z', 'models': ['m', 1], 'nonsense': 1},
            AgentSettings,
            'agent.toml',
        )
    assert str(wrong.value) == snapshot


@given(JSON)
def test_arbitrary_answers_are_accepted_or_give_findings(data):
    try:
        answers = structure(data, Questionnaire, 'file')
        generate(answers, 'file')
    except InvalidFile as exc:
        assert exc.findings


@given(st.binary(max_size=60))
def test_arbitrary_bytes_give_findings(tmp_path_factory, data):
    path = tmp_path_factory.mktemp('settings') / 'agent.toml'
    path.write_bytes(data)
    with pytest.raises(InvalidFile):
        load(path, AgentSettings)
