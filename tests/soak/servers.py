"""Servers of the soak, which work on requests and tell what they saw."""

import asyncio

from tests.platform.fakes import ServerStandin, chunk, event, head

EVENTS = 12
EVENT_PAUSE_S = 0.03
WORK_S = 0.03
HANG_S = 30.0


def body_of(request_id, target):
    """Return the whole body that a server answers to a request."""
    if target.startswith("/chat/"):
        return b"".join(event(number) for number in range(1, EVENTS + 1))
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
            writer.write(head(seen, 421, 0))
            return
        wrong = self._rng.random() < self.fault_share
        fault = self.fault if wrong else ""
        if fault == "refuse":
            writer.write(head(seen, 503, 0, X_Not_Run="1"))
            return
        self._promises.run(request_id, self.name)
        if fault == "hang":
            await asyncio.sleep(HANG_S)
        await asyncio.sleep(WORK_S)
        if fault == "lose":
            writer.transport.abort()
        elif fault == "errors":
            writer.write(head(seen, 500, 4) + b"oops")
        elif seen.target.startswith("/chat/"):
            await self._stream(seen, writer)
        else:
            body = body_of(request_id, seen.target)
            answer = head(seen, 200, len(body)) + body
            writer.write(answer + answer if fault == "twice" else answer)
        if not writer.is_closing():
            await writer.drain()

    async def _stream(self, seen, writer):
        begin = int(seen.headers.get("Last-Event-Id", 0)) + 1
        fields = {"Transfer_Encoding": "chunked", "Content_Type": "text/event-stream"}
        writer.write(head(seen, 200, **fields))
        for number in range(begin, EVENTS + 1):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(chunk(b""))
