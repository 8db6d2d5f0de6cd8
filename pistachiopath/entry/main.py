"""Program `pistachiopath-entry`."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import random

from ..exchange.request_memory import process_memory
from ..telemetry.traces import create_tracer
from ..util.greenlet_errors import report_greenlet_errors
from ..util.listen import make_server
from ..util.program import parse_settings, run_until_stopped, starting
from .http import CallerApp
from .planned_stop import stop_entry
from .settings import EntrySettings
from .shell import EntryShell

MIB = 1024 * 1024


def main() -> None:
    """Run the entry until stopped."""
    cfg = parse_settings(
        'pistachiopath-entry',
        "Accepts callers' requests, binds them to targets and relays the answers.",
        EntrySettings,
    )
    process_memory.set_budget(cfg.request_memory_mb * MIB)
    tracer = create_tracer('pistachiopath-entry', cfg.name, cfg.trace_file)
    shell = EntryShell(cfg=cfg, rng=random.SystemRandom(), tracer=tracer)
    caller_app = CallerApp(cfg=cfg, shell=shell)
    report_greenlet_errors(shell.failures)
    with starting():
        server = make_server(cfg.http, caller_app.app, waits_at_stop=True)
        shell.start()
        server.start()

    run_until_stopped(
        lambda: stop_entry(server=server, shell=shell, drain_s=cfg.drain_s)
    )


if __name__ == '__main__':
    main()
