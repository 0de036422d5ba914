"""Asks the engines of this node's shards for their own view of their load.

A report shows work that the owner did not grant: that of an earlier owner, or of a
second one while nodes hold different lists. Engines that show some are asked each
second, the others seldom.
"""

import json

from peridotcove.endpoints.services import Call
from peridotcove.exceptions import RequestError
from peridotcove.models import LoadReport

QUIET_MS = 8_000
BUSY_MS = 1_000
TIMEOUT_MS = 1_000
MAX_REPORT_BYTES = 4_096
SEGMENT_BYTES = 52
SEGMENTS = 4
REQUEST_BYTES = 120


class LoadPoller:
    """Decides which engine is to be asked, and passes on what it says.

    Parameters
    ----------
    clock : Clock
        Source of time.
    client : ServiceClient
        HTTP towards engines.
    server : LeaseServer
        Shards that this node owns.
    traffic : callable
        Called with ``"out"`` or ``"in"``, a name and a number of bytes on the wire.
    """

    def __init__(self, clock, client, server, traffic):
        self._clock = clock
        self._client = client
        self._server = server
        self._traffic = traffic
        self._due_by_engine = {}

    def pop_due_engines(self):
        """Return pairs of dispatcher and engine that are to be asked now."""
        now = self._clock.now()
        pairs = [
            (dispatcher, engine)
            for dispatcher in self._server.dispatcher_by_shard.values()
            for engine in dispatcher.engines()
        ]
        names = {engine.name for _, engine in pairs}
        for name in set(self._due_by_engine) - names:
            del self._due_by_engine[name]
        asked = [
            pair for pair in pairs if self._due_by_engine.get(pair[1].name, 0) <= now
        ]
        for _, engine in asked:
            self._due_by_engine[engine.name] = now + QUIET_MS
        return asked

    async def poll_engine(self, dispatcher, engine):
        """Ask one engine and take its report; one that does not answer is left alone.

        Parameters
        ----------
        dispatcher : Dispatcher
            Owner's decisions for the engine's shard.
        engine : Engine
            The engine.
        """
        try:
            answer = await self._client.call(
                engine.url, Call("GET", "/load"), TIMEOUT_MS, True
            )
        except RequestError:
            return
        overhead = SEGMENTS // 2 * SEGMENT_BYTES
        self._traffic("out", "LoadReport", REQUEST_BYTES + overhead)
        self._traffic("in", "LoadReport", 2 * len(answer.body) + overhead)
        report = read_report(engine.name, answer.body)
        if report is None:
            return
        self._server.report(dispatcher, report)
        if dispatcher.fresh or dispatcher.foreign(engine.name):
            self._due_by_engine[engine.name] = self._clock.now() + BUSY_MS


def read_report(engine, body):
    """Return the report in the body of an engine's answer, or None if it is none.

    Parameters
    ----------
    engine : str
        Name of the engine.
    body : bytes
        JSON with ``running``, ``waiting`` and ``at_ms``.
    """
    if len(body) > MAX_REPORT_BYTES:
        return None
    try:
        value = json.loads(body)
        numbers = [value[word] for word in ("running", "waiting", "at_ms")]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if not all(type(number) is int and number >= 0 for number in numbers):
        return None
    return LoadReport(engine, *numbers)
