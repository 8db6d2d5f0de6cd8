"""Reads the reports of the engine beside an agent over one connection."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import gevent

from ..errors.exchange import ExchangeFailed
from ..exchange.target_connection import TargetConnection
from ..util.essential import spawn_essential
from .engine_report import REPORT_PATH, decode_report

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..engine_state.report import EngineReport
    from ..telemetry.metrics import Metrics
    from ..util.loop_failures import LoopFailures

logger = logging.getLogger(__name__)

# Speeds change several times a second.
READ_INTERVAL_S = 0.12
# After a failure, doubled up to the maximum.
RETRY_INTERVAL_S = 0.5
MAX_RETRY_INTERVAL_S = 4.0
# Connecting and reading together; an engine that pauses may answer late.
READ_TIMEOUT_S = 0.5
# A thousand runs take about 60 KiB.
MAX_REPORT_BYTES = 128 * 1024
SUCCESS = 200


class EngineReader:
    """Passes each report to `on_report`, with the times of request and receipt.

    The engine is asked only while `is_wanted`.  A report that is refused, garbled,
    too long or late is dropped, and the gate goes on without it.
    """

    def __init__(
        self,
        *,
        address: str,
        is_wanted: Callable[[float], bool],
        on_report: Callable[[EngineReport, float, float], None],
        metrics: Metrics,
        failures: LoopFailures,
    ) -> None:
        self._address = address
        self._is_wanted = is_wanted
        self._on_report = on_report
        self._metrics = metrics
        self._failures = failures
        self._conn: TargetConnection | None = None
        self._retry_s = 0.0
        self._reason = ''
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start reading in a greenlet of its own."""
        self._greenlet = spawn_essential('engine_reader', self._run)

    def stop(self) -> None:
        """Stop reading at once."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._close()

    def _run(self) -> None:
        while True:
            try:
                self._read_if_wanted()
            except Exception as exc:
                self._failures.record('engine_reader', 'read', exc)
                self._close()
                self._retry_s = MAX_RETRY_INTERVAL_S
            gevent.sleep(self._retry_s or READ_INTERVAL_S)

    def _read_if_wanted(self) -> None:
        requested_at = time.monotonic()
        if not self._is_wanted(requested_at):
            self._close()
            return
        timeout = gevent.Timeout(READ_TIMEOUT_S)
        try:
            with timeout:
                body = self._read()
        except ExchangeFailed as exc:
            self._record_failure(type(exc).__name__)
            return
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            self._record_failure('timeout')
            return
        report = decode_report(body) if body is not None else None
        if report is None:
            self._record_failure('garbled')
            return
        self._record_success()
        self._on_report(report, requested_at, time.monotonic())

    def _read(self) -> bytes | None:
        """Return the body of a report, None if there is no usable one."""
        conn = self._conn or self._open()
        host = self._address.encode('latin-1')
        conn.send(b'GET', REPORT_PATH, [(b'host', host)], b'')
        head = conn.read_head()
        body = b''
        while part := conn.read_part():
            body += part
            if len(body) > MAX_REPORT_BYTES:
                return None
        if not conn.finish(head, time.monotonic()):
            self._close()
        return body if head.status == SUCCESS else None

    def _open(self) -> TargetConnection:
        conn = TargetConnection(address=self._address, request_id_header=b'')
        self._conn = conn
        conn.connect(READ_TIMEOUT_S)
        return conn

    def _close(self) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.close()

    def _record_failure(self, reason: str) -> None:
        """Count a failed read, and log it if the reason is another than before."""
        self._close()
        self._retry_s = min(
            MAX_RETRY_INTERVAL_S, max(RETRY_INTERVAL_S, 2 * self._retry_s)
        )
        self._metrics.count('engine_reports_total', result=reason)
        if reason != self._reason:
            self._reason = reason
            logger.warning(
                'engine_report_missing',
                extra={'address': self._address, 'reason': reason},
            )

    def _record_success(self) -> None:
        self._retry_s = 0.0
        self._metrics.count('engine_reports_total', result='read')
        if self._reason:
            self._reason = ''
            logger.info('engine_report_back', extra={'address': self._address})
