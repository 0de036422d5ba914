"""Servers of the soak, which work on requests and tell what they saw."""

import asyncio

from tests.platform.fakes import (
    ServerStandin,
    fail,
    make_event,
    make_head,
    make_stream_answer,
    refuse,
    reset,
)

EVENTS = 12
EVENT_PAUSE_S = 0.03
WORK_S = 0.03
HANG_S = 30.0


def body_of(request_id, target):
    """Return the whole body that a server answers to a request."""
    if target.startswith("/chat/"):
        return b"".join(make_event(number) for number in range(1, EVENTS + 1))
    return f"done {request_id}".encode()


class SoakServer(ServerStandin):
    """A server that may fail, hang, refuse or lose its answers.

    Parameters
    ----------
    name : str
        Its id.
    promises : Promises
        Told of each request.
    rng : random.Random
        Draws which requests go wrong.

    Attributes
    ----------
    fault_share : float
        Share of the requests that go wrong.
    fault : str
        How: ``errors``, ``hang``, ``refuse``, ``lose`` or ``twice``.
    """

    def __init__(self, name, promises, rng):
        super().__init__(name, self._work)
        self.fault_share = 0.0
        self.fault = ""
        self._promises = promises
        self._rng = rng

    async def _work(self, seen, writer):
        self.seen.clear()
        request_id = seen.headers["X-Request-Id"]
        if not self._promises.arrive(request_id, self.name):
            return
        self._promises.check_passed_on(request_id, seen.headers)
        if seen.headers.get("X-Expect-Instance") != self.name:
            writer.write(make_head(seen, 421, 0))
            return
        wrong = self._rng.random() < self.fault_share
        fault = self.fault if wrong else ""
        if fault == "refuse":
            await refuse(seen, writer)
            return
        self._promises.run(request_id, self.name)
        if fault == "hang":
            await asyncio.sleep(HANG_S)
        await asyncio.sleep(WORK_S)
        if fault == "lose":
            await reset(seen, writer)
        elif fault == "errors":
            await fail(seen, writer)
        elif seen.target.startswith("/chat/"):
            await make_stream_answer(EVENTS, pause_s=EVENT_PAUSE_S)(seen, writer)
        else:
            body = body_of(request_id, seen.target)
            answer = make_head(seen, 200, len(body)) + body
            writer.write(answer + answer if fault == "twice" else answer)
        if not writer.is_closing():
            await writer.drain()
