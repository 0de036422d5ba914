"""Polls the engines of this node's shards for their load.

A report can show requests without a lease of this owner: those granted by an earlier
owner, or by a second one while nodes disagree about the list of nodes. Engines with
such requests are polled every second, all others every 8 s.
"""

from peridotcove.endpoints.service_client import HttpCall
from peridotcove.exceptions import RequestError
from peridotcove.json_values import decode_json
from peridotcove.models import LoadReport

POLL_INTERVAL_MS = 8_000
UNLEASED_POLL_INTERVAL_MS = 1_000
POLL_TIMEOUT_MS = 1_000
MAX_REPORT_BYTES = 4_096
# Estimate of the bytes on the wire: headers of a TCP segment, segments of a poll in
# both directions, and the HTTP request.
SEGMENT_BYTES = 52
SEGMENTS_PER_POLL = 4
REQUEST_BYTES = 120


class LoadPoller:
    """Polls engines that are due, and passes on their reports.

    Parameters
    ----------
    clock : Clock
        Source of time.
    client : ServiceClient
        HTTP client for calls to engines.
    server : LeaseServer
        Lease server with the dispatchers of the shards that this node owns.
    on_traffic : callable
        Called with ``"out"`` or ``"in"``, a name and a number of bytes on the wire.
    """

    def __init__(self, clock, client, server, on_traffic):
        self._clock = clock
        self._client = client
        self._server = server
        self._count_traffic = on_traffic
        self._due_ms_by_engine = {}

    def pop_due_engines(self):
        """Return the pairs of dispatcher and engine due now, and reschedule them."""
        now = self._clock.now()
        pairs = [
            (dispatcher, engine)
            for dispatcher in self._server.dispatcher_by_shard.values()
            for engine in dispatcher.engines()
        ]
        names = {engine.name for _, engine in pairs}
        for name in set(self._due_ms_by_engine) - names:
            del self._due_ms_by_engine[name]
        due_pairs = [
            pair for pair in pairs if self._due_ms_by_engine.get(pair[1].name, 0) <= now
        ]
        for _, engine in due_pairs:
            self._due_ms_by_engine[engine.name] = now + POLL_INTERVAL_MS
        return due_pairs

    async def poll_engine(self, dispatcher, engine):
        """Poll one engine and pass on its report; a failed poll is ignored.

        Parameters
        ----------
        dispatcher : Dispatcher
            Dispatcher of the engine's shard.
        engine : Engine
            The engine.
        """
        try:
            answer = await self._client.call(
                engine.url, HttpCall("GET", "/load"), POLL_TIMEOUT_MS, True
            )
        except RequestError:
            return
        overhead = SEGMENTS_PER_POLL // 2 * SEGMENT_BYTES
        self._count_traffic("out", "LoadReport", REQUEST_BYTES + overhead)
        self._count_traffic("in", "LoadReport", 2 * len(answer.body) + overhead)
        report = parse_report(engine.name, answer.body)
        if report is None:
            return
        self._server.handle_load_report(dispatcher, report)
        if dispatcher.is_recovering or dispatcher.unleased_load(engine.name):
            self._due_ms_by_engine[engine.name] = (
                self._clock.now() + UNLEASED_POLL_INTERVAL_MS
            )


def parse_report(engine, body):
    """Return the report in the body of an engine's answer, or None if it is invalid.

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
        value = decode_json(body)
        numbers = [value[word] for word in ("running", "waiting", "at_ms")]
    except (ValueError, KeyError, TypeError):
        return None
    if not all(type(number) is int and number >= 0 for number in numbers):
        return None
    return LoadReport(engine, *numbers)
