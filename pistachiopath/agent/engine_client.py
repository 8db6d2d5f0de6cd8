"""HTTP client for the engine or plain service beside the agent."""

from __future__ import annotations

import json
import logging
import re
from typing import TYPE_CHECKING

import gevent
import urllib3

from ..errors.exchange import ConnectFailed, ExchangeFailed
from ..errors.outcomes import OutcomeKind
from ..gate.run import RunState
from ..messages.claims import OutcomeRecord
from ..util.plain_text import shortened
from .engine_answer import CONNECT_TIMEOUT_S, READ_TIMEOUT_S, EngineRequests
from .model_list import decode_model_list

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..gate.run import Run
    from ..messages.fencing import LoadedModel, Order
    from .engine_answer import EngineAnswer

logger = logging.getLogger(__name__)

# A stream id that can stand in a path: printable ASCII without `#` and `?`.
STREAM_ID = re.compile('[!"$->@-~]{1,256}')
MAX_RESUMES = 3
RESUME_DELAY_S = 0.2
REFUSAL_STATUSES = (429, 503)
RETRY_AFTER_MS = 500
MIN_ERROR_STATUS = 400
MIN_SERVER_ERROR_STATUS = 500


class EngineClient:
    """Runs requests on the engine, one greenlet each.

    The callbacks get the run as their first argument.  `on_crash` is called
    when the engine accepts no connection after it broke one.
    """

    def __init__(
        self,
        *,
        address: str,
        on_data: Callable[[Run, int, str, bytes], None],
        on_end: Callable[[Run, OutcomeRecord], None],
        on_refused: Callable[[Run, int], None],
        on_crash: Callable[[Run], None],
    ) -> None:
        self._base_url = f'http://{address}'
        self._on_data = on_data
        self._on_end = on_end
        self._on_refused = on_refused
        self._on_crash = on_crash
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._pool = urllib3.PoolManager(
            timeout=timeout, retries=False, maxsize=64, block=False
        )
        self._requests = EngineRequests(address=address)
        self._greenlets: dict[bytes, gevent.Greenlet] = {}
        self._streams: dict[bytes, str] = {}

    def start(self, run: Run) -> None:
        """Send the request to the engine, or resume its stream."""
        self._greenlets[run.key] = gevent.spawn(self._run, run)

    def stop(self, run: Run) -> None:
        """Close the connection, so that the engine frees the request's slot.

        A paused run keeps its stream, so that it can be resumed.
        """
        greenlet = self._greenlets.pop(run.key, None)
        if greenlet is not None:
            greenlet.kill(block=False)
        if run.state is not RunState.PAUSED:
            self._streams.pop(run.key, None)

    def send_order(self, order: Order) -> None:
        """Forward an order; `loaded_models` shows its result."""
        body = {
            'kind': 'load',
            'model': order.model,
            'version': order.version,
            'adapters': order.adapters,
            'replaces': order.replaces,
            'fence': order.fence,
        }
        try:
            response = self._pool.request(
                'POST', f'{self._base_url}/orders', body=json.dumps(body)
            )
        except urllib3.exceptions.HTTPError as exc:
            logger.warning('order_failed', extra={'error': type(exc).__name__})
            return
        logger.info(
            'order_passed',
            extra={
                'model': order.model,
                'version': order.version,
                'fence': order.fence,
                'status': response.status,
            },
        )

    def loaded_models(self) -> tuple[LoadedModel, ...] | None:
        """Return the models on the engine, or None if there is no valid reply."""
        try:
            response = self._pool.request(
                'GET', f'{self._base_url}/models', timeout=1.0
            )
        except urllib3.exceptions.HTTPError:
            return None
        return decode_model_list(response.data)

    def _run(self, run: Run) -> None:
        try:
            self._run_on_engine(run)
        except Exception:
            # A run without an outcome would keep its place on the engine for ever.
            logger.exception('engine_run_failed', extra={'request': run.key.hex()})
            self._forget(run)
            failed = OutcomeRecord(kind=OutcomeKind.FAILED, reason='agent_failed')
            self._on_end(run, failed)

    def _run_on_engine(self, run: Run) -> None:
        try:
            self._start_or_resume(run)
        except ConnectFailed:
            # Nothing was sent, so this attempt did not run the request.
            self._on_refused(run, RETRY_AFTER_MS)
        except ExchangeFailed as exc:
            logger.warning(
                'engine_stream_broke',
                extra={
                    'request': run.key.hex(),
                    'error': type(exc).__name__,
                    'reason': exc.reason,
                },
            )
            self._resume(run)

    def _start_or_resume(self, run: Run) -> None:
        if run.key in self._streams:
            self._read(run, self._request_stream(run))
            return
        if run.resumable:
            failed = OutcomeRecord(kind=OutcomeKind.FAILED, reason='not_resumable')
            self._on_end(run, failed)
            return
        headers = [(b'content-type', run.work.content_type.encode('latin-1'))]
        if run.work.traceparent:
            headers.append((b'traceparent', run.work.traceparent.encode('latin-1')))
        answer = self._requests.send(
            run.work.method, run.work.path, headers, run.work.body
        )
        if answer.status in REFUSAL_STATUSES:
            answer.discard()
            self._on_refused(run, RETRY_AFTER_MS)
            return
        self._note_stream(run, answer.header(b'x-stream-id'))
        self._read(run, answer)

    def _note_stream(self, run: Run, stream: str) -> None:
        """Remember the id under which the engine's stream can be resumed."""
        if not stream:
            return
        if not STREAM_ID.fullmatch(stream):
            logger.warning(
                'stream_id_unusable',
                extra={'request': run.key.hex(), 'stream': shortened(stream)},
            )
            return
        self._streams[run.key] = stream
        run.resumable = True

    def _request_stream(self, run: Run) -> EngineAnswer:
        path = f'/v1/streams/{self._streams[run.key]}?offset={len(run.answer)}'
        return self._requests.send('GET', path, [], b'')

    def _read(self, run: Run, answer: EngineAnswer) -> None:
        for data in answer.parts():
            self._on_data(run, answer.status, answer.content_type, data)
        self._forget(run)
        self._on_end(run, self._outcome(answer.status, answer.content_type))

    @staticmethod
    def _outcome(status: int, content_type: str) -> OutcomeRecord:
        if status >= MIN_SERVER_ERROR_STATUS:
            return OutcomeRecord(kind=OutcomeKind.FAILED, reason=f'engine_{status}')
        return OutcomeRecord(
            kind=OutcomeKind.COMPLETED, status=status, content_type=content_type
        )

    def _resume(self, run: Run) -> None:
        """Continue a broken stream, without running the request again."""
        for _ in range(MAX_RESUMES if run.key in self._streams else 0):
            gevent.sleep(RESUME_DELAY_S)
            try:
                answer = self._request_stream(run)
            except ConnectFailed:
                self._on_crash(run)
                break
            except ExchangeFailed:
                continue
            if answer.status >= MIN_ERROR_STATUS:
                answer.discard()
                break
            try:
                self._read(run, answer)
            except ExchangeFailed:
                continue
            return
        self._forget(run)
        if not self._is_reachable():
            self._on_crash(run)
        failed = OutcomeRecord(kind=OutcomeKind.FAILED, reason='engine_lost')
        self._on_end(run, failed)

    def _is_reachable(self) -> bool:
        try:
            self._pool.request('GET', self._base_url + '/health', timeout=1.0)
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def _forget(self, run: Run) -> None:
        self._streams.pop(run.key, None)
        self._greenlets.pop(run.key, None)
