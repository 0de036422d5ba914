"""Sends chats to engines and checks that their answers are whole."""

import asyncio
import contextlib
import json
import re

from attrs import evolve

from peridotcove.answer_validation import AnswerStreamValidator, validate_answer
from peridotcove.clock import MS_PER_S
from peridotcove.endpoints.streaming_client import EndpointResponse, Transfer
from peridotcove.exceptions import EndpointFailed, RequestError
from peridotcove.verdict import Verdict

RESUME_MS = (0, 100, 500, 1_000)
CANCEL_MS = 2_000
CUTS = ("cut", "timeout")
USAGE = re.compile(
    rb'"prompt_tokens":\s*(\d+).{0,200}?"cached_tokens":\s*(\d+)', re.DOTALL
)
TAIL_BYTES = 1_024
MAX_ERROR_BYTES = 65_536
BUSY_STATUSES = (429, 503)


class EngineClient:
    """Runs chats at engines.

    Parameters
    ----------
    client : EndpointClient
        HTTP towards endpoints.
    limits : Limits
        Waits for first byte and gaps.
    """

    def __init__(self, client, limits):
        self._client = client
        self._limits = limits
        self._tasks = set()

    async def run(self, engine, body, request_id, sink=None, before_send=None):
        """Run one chat at an engine and return the reply.

        A stream that is cut goes on where it stopped, if the engine still has it. When
        the caller goes away the engine is told to stop.

        Parameters
        ----------
        engine : Engine
            The engine.
        body : bytes
            The request as JSON.
        request_id : str
            Id of the request, passed to the engine.
        sink : Sink or None
            Takes a streamed answer; None for an answer in one piece.
        before_send : callable or None
            Called right before the request is sent; may raise `RequestError`.

        Returns
        -------
        Reply
            Status 200 and a whole answer, or a client's error of the engine.

        Raises
        ------
        EndpointFailed
            If the answer is missing, malformed, another request's, or cut.
        """
        run = _Run(self._client, self._limits, engine, request_id, sink)
        run.before_send = before_send
        try:
            reply = await run.start(body)
        except (asyncio.CancelledError, RequestError):
            if run.is_left_running():
                self._cancel(run)
            raise
        return reply

    def _cancel(self, run):
        task = asyncio.create_task(run.cancel())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _Run:
    """One chat at one engine, over as many connections as it takes."""

    def __init__(self, client, limits, engine, request_id, sink):
        self.before_send = None
        self._client = client
        self._limits = limits
        self._engine = engine
        self._id = request_id
        self._sink = sink
        self._events = AnswerStreamValidator(f"chatcmpl-{request_id}")
        self._head = self._tail = b""
        self._transfer = None
        self._sent = False

    async def start(self, body):
        headers = {"Content-Type": "application/json", "X-Request-Id": self._id}
        reply, failure = await self._fetch(
            "POST", "/v1/chat/completions", headers, body
        )
        if self._sink is None:
            if failure:
                raise failure
            return self._check_json(reply)
        tries = 0
        while self._may_resume(reply, failure) and tries < len(RESUME_MS):
            await asyncio.sleep(RESUME_MS[tries] / MS_PER_S)
            tries += 1
            if not await self._resume(body):
                break
        return self._finish(reply, failure)

    async def cancel(self):
        path = f"/v1/streams/{self._id}/cancel"
        url = self._engine.url + path
        transfer = Transfer(CANCEL_MS, CANCEL_MS, CANCEL_MS)
        with contextlib.suppress(RequestError):
            await self._client.fetch("POST", url, {}, b"", transfer)

    def is_left_running(self):
        gone = self._sink is None or self._sink.closed
        return self._sent and gone and not self._events.is_complete

    async def _resume(self, body):
        self._events.discard_partial()
        usage = int(_wants_usage(body))
        query = f"after={self._events.event_count}&usage={usage}"
        path = f"/v1/streams/{self._id}?{query}"
        reply, failure = await self._fetch("GET", path, {}, None)
        return reply.status == 200 if reply else failure.code in CUTS

    async def _fetch(self, method, path, headers, body):
        limits = self._limits
        take = None if self._sink is None else self._take
        transfer = Transfer(
            limits.first_byte_ms, limits.gap_ms, limits.caller_stall_ms, take
        )
        if method == "POST":
            transfer.before_send = self.before_send
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

    def _take(self, data):
        if self._transfer.status != 200:
            self._head = (self._head + data)[:MAX_ERROR_BYTES]
            return False
        events = self._events.feed(data)
        self._tail = (self._tail + events)[-TAIL_BYTES:]
        if self._events.fault:
            self._transfer.cancel()
        return self._sink.write(events) if events else False

    def _may_resume(self, reply, failure):
        if self._sink.closed or self._events.is_complete or self._events.fault:
            return False
        if reply is not None:
            return reply.status == 200
        return failure.code in CUTS and failure.verdict is Verdict.MAY_HAVE_RUN

    def _finish(self, reply, failure):
        if self._events.is_complete:
            whole = reply or EndpointResponse(200, self._transfer.headers)
            return evolve(whole, cached_share=_read_cached_share(self._tail))
        if failure or self._events.fault:
            raise self._events.fault or failure
        if reply.status != 200:
            _check_status(self._engine, reply.status)
            return evolve(reply, body=self._head)
        message = f"{self._engine.name} ended its answer early"
        raise EndpointFailed("cut", message, Verdict.MAY_HAVE_RUN)

    def _check_json(self, reply):
        _check_status(self._engine, reply.status)
        if reply.status == 200:
            validate_answer(reply.body, f"chatcmpl-{self._id}")
            self._events.is_complete = True
        return evolve(reply, cached_share=_read_cached_share(reply.body))


def _wants_usage(body):
    if b"include_usage" not in body:
        return False
    options = json.loads(body).get("stream_options") or {}
    return bool(options.get("include_usage"))


def _read_cached_share(tail):
    found = USAGE.search(tail)
    if found is None or not int(found[1]):
        return None
    return min(1.0, int(found[2]) / int(found[1]))


def _check_status(engine, status):
    if status in BUSY_STATUSES:
        message = f"{engine.name} is busy"
        raise EndpointFailed("engine-busy", message, Verdict.NOT_RUN, 503)
    if status >= 500 or status < 200 or 300 <= status < 400:
        message = f"{engine.name} answered with status {status}"
        raise EndpointFailed("engine-error", message, Verdict.MAY_HAVE_RUN)
