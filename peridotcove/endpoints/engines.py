"""Sends chats to engines and checks that their answers are whole."""

import json
import re

from attrs import evolve

from peridotcove.endpoints.client import Transfer
from peridotcove.exceptions import EndpointFailed
from peridotcove.verdict import Verdict

DONE = b"data: [DONE]"
USAGE = re.compile(
    rb'"prompt_tokens":\s*(\d+).{0,200}?"cached_tokens":\s*(\d+)', re.DOTALL
)
EVENT_STARTS = (b"data:", b":", b"event:", b"id:")
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

    async def run(self, engine, body, request_id, sink=None):
        """Run one chat at an engine and return the reply.

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

        Returns
        -------
        Reply
            Status 200 and a whole answer, or a client's error of the engine.

        Raises
        ------
        EndpointFailed
            If the answer is missing, malformed or cut.
        """
        headers = {"Content-Type": "application/json", "X-Request-Id": request_id}
        url = f"{engine.url}/v1/chat/completions"
        stream = _Stream(engine, sink)
        take = None if sink is None else stream.take
        limits = self._limits
        transfer = Transfer(
            limits.first_byte_ms, limits.gap_ms, limits.caller_stall_ms, take
        )
        stream.transfer = transfer
        if sink is not None:
            sink.transfer = transfer
        reply = await self._client.fetch("POST", url, headers, body, transfer)
        if sink is None:
            return _check_json(engine, reply)
        return stream.finish(reply)


class _Stream:
    """The body of one streamed answer: data for the caller, or an error to keep."""

    def __init__(self, engine, sink):
        self._engine = engine
        self._sink = sink
        self._tail = b""
        self._head = b""
        self.transfer = None

    def take(self, data):
        self._tail = (self._tail + data)[-TAIL_BYTES:]
        if self._sink.started:
            return self._sink.write(data)
        self._head = (self._head + data)[:MAX_ERROR_BYTES]
        if self.transfer.status != 200 or not self._head.startswith(EVENT_STARTS):
            return False
        head, self._head = self._head, b""
        return self._sink.write(head)

    def finish(self, reply):
        if reply.status != 200:
            _check_status(self._engine, reply.status)
            return evolve(reply, body=self._head)
        if DONE not in self._tail:
            message = f"{self._engine.name} ended its answer early"
            raise EndpointFailed("cut", message, Verdict.MAY_HAVE_RUN)
        return evolve(reply, cached_share=_read_cached_share(self._tail))


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


def _check_json(engine, reply):
    _check_status(engine, reply.status)
    if reply.status != 200:
        return reply
    try:
        whole = isinstance(json.loads(reply.body)["choices"], list)
    except (ValueError, KeyError, TypeError):
        whole = False
    if not whole:
        message = f"{engine.name} sent something that is no answer"
        raise EndpointFailed("garbage", message, Verdict.MAY_HAVE_RUN)
    return evolve(reply, cached_share=_read_cached_share(reply.body))
