"""Sends chat requests to engines and validates their responses."""

import asyncio
import contextlib
import re

from attrs import evolve

from peridotcove.answer_validation import AnswerStreamValidator, validate_answer
from peridotcove.clock import MS_PER_S
from peridotcove.endpoints.streaming_client import EndpointResponse, Transfer
from peridotcove.exceptions import EndpointFailed, RequestError
from peridotcove.json_values import decode_json
from peridotcove.verdict import Verdict

RESUME_DELAYS_MS = (0, 100, 500, 1_000)
CANCEL_TIMEOUT_MS = 2_000
RESUMABLE_CODES = ("cut", "timeout")
CACHE_USAGE_PATTERN = re.compile(
    rb'"prompt_tokens":\s*(\d+).{0,200}?"cached_tokens":\s*(\d+)', re.DOTALL
)
USAGE_TAIL_BYTES = 1_024
MAX_ERROR_BODY_BYTES = 65_536
BUSY_STATUSES = (429, 503)


class EngineClient:
    """Runs chat requests at engines.

    Parameters
    ----------
    client : StreamingClient
        HTTP client.
    limits : Limits
        Timeouts for the first byte, between reads and for a caller that stalls.
    """

    def __init__(self, client, limits):
        self._client = client
        self._limits = limits
        self._tasks = set()

    async def run(
        self,
        engine,
        body,
        request_id,
        sink=None,
        before_send=None,
        may_relay=lambda instance: True,
    ):
        """Run one chat request at an engine and return the response.

        A stream that breaks off is resumed after its last complete event, if the engine
        still has it. If the caller closes its connection, the request is cancelled at
        the engine.

        Parameters
        ----------
        engine : Engine
            The engine.
        body : bytes
            Body of the request, JSON.
        request_id : str
            Id of the request, sent to the engine.
        sink : ResponseSink or None
            Receives a streamed response; None for a response in one piece.
        before_send : callable or None
            Called right before the request is sent; a `RequestError` that it raises
            stops the request.
        may_relay : callable
            Called with the `Instance` of another node; whether the request may be sent
            through it.

        Returns
        -------
        EndpointResponse
            A complete response with status 200, or a response of the engine with a
            client error (4xx).

        Raises
        ------
        EndpointFailed
            If the response is missing, malformed, incomplete or of another request.
        RequestError
            Raised by `before_send`.
        """
        run = _ChatRun(self._client, self._limits, engine, request_id, sink)
        run.before_send, run.may_relay = before_send, may_relay
        try:
            response = await run.execute(body)
        except (asyncio.CancelledError, RequestError):
            if run.may_still_run():
                self._start_cancel(run)
            raise
        return response

    def _start_cancel(self, run):
        task = asyncio.create_task(run.cancel())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _ChatRun:
    """One chat request at one engine; each resumption of its stream is a connection."""

    def __init__(self, client, limits, engine, request_id, sink):
        self.before_send = None
        self.may_relay = lambda instance: True
        self._client = client
        self._limits = limits
        self._engine = engine
        self._request_id = request_id
        self._sink = sink
        self._validator = AnswerStreamValidator(f"chatcmpl-{request_id}")
        self._error_body = self._last_bytes = b""
        self._transfer = None
        self._sent = False

    async def execute(self, body):
        headers = {"Content-Type": "application/json", "X-Request-Id": self._request_id}
        response, failure = await self._fetch(
            "POST", "/v1/chat/completions", headers, body
        )
        if self._sink is None:
            if failure:
                raise failure
            return self._check_whole_response(response)
        tries = 0
        while self._may_resume(response, failure) and tries < len(RESUME_DELAYS_MS):
            await asyncio.sleep(RESUME_DELAYS_MS[tries] / MS_PER_S)
            tries += 1
            if not await self._resume(body):
                break
        return self._finish_stream(response, failure)

    async def cancel(self):
        path = f"/v1/streams/{self._request_id}/cancel"
        url = self._engine.url + path
        transfer = Transfer(CANCEL_TIMEOUT_MS, CANCEL_TIMEOUT_MS, CANCEL_TIMEOUT_MS)
        with contextlib.suppress(RequestError):
            await self._client.fetch("POST", url, {}, b"", transfer)

    def may_still_run(self):
        caller_gone = self._sink is None or self._sink.closed
        return self._sent and caller_gone and not self._validator.is_complete

    async def _resume(self, body):
        self._validator.discard_partial()
        usage = int(_wants_usage(body))
        query = f"after={self._validator.event_count}&usage={usage}"
        path = f"/v1/streams/{self._request_id}?{query}"
        response, failure = await self._fetch("GET", path, {}, None)
        return response.status == 200 if response else failure.code in RESUMABLE_CODES

    async def _fetch(self, method, path, headers, body):
        limits = self._limits
        on_data = None if self._sink is None else self._handle_data
        transfer = Transfer(
            limits.first_byte_ms, limits.gap_ms, limits.caller_stall_ms, on_data
        )
        if method == "POST":
            transfer.before_send = self.before_send
            transfer.may_relay = self.may_relay
        self._transfer = transfer
        if self._sink is not None:
            self._sink.transfer = transfer
        url = self._engine.url + path
        try:
            return await self._client.fetch(method, url, headers, body, transfer), None
        except RequestError as error:
            return None, error
        finally:
            self._sent = self._sent or transfer.connected

    def _handle_data(self, data):
        if self._transfer.status != 200:
            self._error_body = (self._error_body + data)[:MAX_ERROR_BODY_BYTES]
            return False
        events = self._validator.feed(data)
        self._last_bytes = (self._last_bytes + events)[-USAGE_TAIL_BYTES:]
        if self._validator.fault:
            self._transfer.cancel()
        return self._sink.write(events) if events else False

    def _may_resume(self, response, failure):
        if self._sink.closed or self._validator.is_complete or self._validator.fault:
            return False
        if response is not None:
            return response.status == 200
        return (
            failure.code in RESUMABLE_CODES and failure.verdict is Verdict.MAY_HAVE_RUN
        )

    def _finish_stream(self, response, failure):
        if self._validator.is_complete:
            complete = response or EndpointResponse(200, self._transfer.headers)
            return evolve(complete, cached_share=_read_cached_share(self._last_bytes))
        if failure or self._validator.fault:
            raise self._validator.fault or failure
        if response.status != 200:
            _check_status(self._engine, response.status)
            return evolve(response, body=self._error_body)
        message = f"{self._engine.name} ended the stream before its last event"
        raise EndpointFailed("cut", message, Verdict.MAY_HAVE_RUN)

    def _check_whole_response(self, response):
        _check_status(self._engine, response.status)
        if response.status == 200:
            validate_answer(response.body, f"chatcmpl-{self._request_id}")
            self._validator.is_complete = True
        return evolve(response, cached_share=_read_cached_share(response.body))


def _wants_usage(body):
    if b"include_usage" not in body:
        return False
    options = decode_json(body).get("stream_options") or {}
    return bool(options.get("include_usage"))


def _read_cached_share(tail):
    match = CACHE_USAGE_PATTERN.search(tail)
    if match is None or not int(match[1]):
        return None
    return min(1.0, int(match[2]) / int(match[1]))


def _check_status(engine, status):
    if status in BUSY_STATUSES:
        message = f"{engine.name} is busy"
        raise EndpointFailed("engine-busy", message, Verdict.NOT_RUN, 503)
    if status >= 500 or status < 200 or 300 <= status < 400:
        message = f"{engine.name} answered with status {status}"
        raise EndpointFailed("engine-error", message, Verdict.MAY_HAVE_RUN)
