"""Program `pistachiopath-standin`."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

from ..util.essential import spawn_essential
from ..util.listen import make_server
from ..util.program import parse_settings, run_until_stopped
from .engine import StandinEngine
from .service import StandinService
from .settings import StandinSettings
from .weights import StandinWeights


def main() -> None:
    """Serve a stand-in engine or plain service until stopped."""
    cfg = parse_settings(
        'pistachiopath-standin',
        'Stand-in for an engine or a plain service, for tests and measurement.',
        StandinSettings,
    )
    kinds = {
        'engine': StandinEngine,
        'service': StandinService,
        'weights': StandinWeights,
    }
    standin = kinds[cfg.kind](cfg=cfg)
    server = make_server(cfg.listen, standin.app)
    server.start()
    spawn_essential('standin', standin.run)
    run_until_stopped(server.stop)


if __name__ == '__main__':
    main()
