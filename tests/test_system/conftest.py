from __future__ import annotations

import pytest

from tools.cluster import Cluster


@pytest.fixture
def cluster(tmp_path):
    with Cluster(folder=tmp_path, traces=True) as running:
        yield running


@pytest.fixture
def prairie(cluster, examples):
    """A small Prairie Commons: two engines of unequal speed, a service, two entries."""
    cluster.start_controls()
    cluster.start_engine('fast')
    cluster.start_engine('slow', profile={'decode_tokens_s': 30.0})
    cluster.start_service('payments')
    cluster.start_agent('fast', models=['proofreader'])
    cluster.start_agent('slow', models=['proofreader'], zone='dc1')
    cluster.start_agent('payments', services=['payments', 'accounts'])
    cluster.start_entry('entry-a')
    cluster.start_entry('entry-b', zone='dc1')
    result = cluster.accept(examples / 'prairie.toml')
    assert result.returncode == 0, result.stderr
    cluster.wait_ready()
    return cluster
