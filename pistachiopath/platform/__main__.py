"""Programs of the platform: `python -m pistachiopath.platform ROLE`.

After a restart a program can't serve until its modules are imported.  An entry
therefore listens before that, and each program imports only what it needs.
Sockets and waits use gevent directly; the standard library is not patched.
"""

from __future__ import annotations

import gc
import os
import signal
import sys

# Modules are never freed, so collecting garbage during imports only costs time.
gc.disable()

if __name__ == '__main__':
    # `main` handles SIGHUP, which ends the process until then.  The settings are
    # read later than this, and the imports below take a while.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .early import listen_early  # noqa: E402

if __name__ == '__main__':
    listen_early(sys.argv[1:], os.environ)

from .main import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == '__main__':
    main()
