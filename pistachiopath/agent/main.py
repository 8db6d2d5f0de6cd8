"""Program `pistachiopath-agent`."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import random

from ..telemetry.traces import create_tracer
from ..util.greenlet_errors import report_greenlet_errors
from ..util.metrics_server import serve_metrics
from ..util.program import parse_settings, run_until_stopped, starting
from .settings import AgentSettings
from .shell import AgentShell


def main() -> None:
    """Run the agent of one target until stopped."""
    cfg = parse_settings(
        'pistachiopath-agent',
        'Runs beside one target: announces it and controls access to its engine.',
        AgentSettings,
    )
    tracer = create_tracer('pistachiopath-agent', cfg.name, cfg.trace_file)
    shell = AgentShell(cfg=cfg, rng=random.SystemRandom(), tracer=tracer)
    report_greenlet_errors(shell.failures)
    with starting():
        serve_metrics(cfg.metrics, shell.metrics)
        shell.start()
    run_until_stopped(shell.stop)


if __name__ == '__main__':
    main()
