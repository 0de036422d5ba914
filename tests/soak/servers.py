"""Servers of the soak, which run requests and report them to the promise checker."""

import asyncio

from attrs import evolve

from peridotcove.clock import Clock
from tests.platform.fakes import (
    ServerStandin,
    echo_unframed_body,
    fail,
    make_chunk,
    make_event,
    make_head,
    make_stream_answer,
    make_unframed_answer,
    refuse,
    reset,
    reset_connection,
)

CLOCK = Clock()
EVENT_COUNT = 12
EVENT_INTERVAL_S = 0.03
SERVICE_TIME_S = 0.03
HANG_S = 30.0
TORN_EVENT = b"id: 13\nda"
MAX_COPY_DELAY_S = 0.08
BODY_ENDS = ("", "", "", " by HTTP/", " by HTTP/1.1", " by HTTP/1.1 200 x\r\n")
ODD_PAUSES = ("soon", "-1", "nan", "", "Wed, 21 Oct 2026 07:28:00 GMT", "0")


def make_expected_body(request_id, target, version):
    """Return the complete body with which a server of a version answers a request."""
    if target.startswith("/chat/"):
        return make_events(1, version)
    # Without a length, a body that ends like this can't be told from one with the begin
    # of a second copy after it.
    end = BODY_ENDS[sum(request_id.encode()) % len(BODY_ENDS)]
    return f"done {request_id}{end}".encode()


def make_events(first, version):
    """Return the events of a stream, from a first one on; they name the version."""
    numbers = range(first, EVENT_COUNT + 1)
    return b"".join(make_event(number, f" {version}") for number in numbers)


class SoakServer(ServerStandin):
    """A server that can fail, hang, refuse, drop or duplicate its answers.

    Parameters
    ----------
    name : str
        Id of the server.
    promises : PromiseChecker
        Records each request that arrives and runs.
    rng : random.Random
        Draws which requests fail.
    software_version : str
        Version of its software, which marks the events of its streams.
    zone : str
        Its availability zone.
    cold_ms : int
        Time in ms for which it is cold from now on.

    Attributes
    ----------
    fault_share : float
        Share of the requests that fail.
    runs : int
        Number of requests that it ran.
    leaving_share : float
        Share of the answers that say that the server leaves, once it has said so.
    pause_share : float
        Share of the requests that are refused with a time for which the server wants
        none; a quarter of the refusals names no time that can be kept.
    fault : str
        How they fail: ``errors`` (status 500), ``hang``, ``refuse`` (not run),
        ``lose`` (connection reset after the run), ``twice`` (a second copy of the
        answer, whole, cut or reset, follows at once or late, in any framing),
        ``unframed`` (whole, but without length or chunks) or ``torn`` (the same, broken
        off).
    """

    def __init__(
        self, name, promises, rng, software_version="v1", zone="z1", cold_ms=0
    ):
        super().__init__(name, self._handle_request)
        self.fault_share = self.leaving_share = self.pause_share = 0.0
        self.fault = ""
        self.runs = 0
        self.software_version = software_version
        self.zone = zone
        self._cold_end_ms = CLOCK.now() + cold_ms
        self._promises = promises
        self._rng = rng

    async def _handle_request(self, seen, writer):
        self.seen.clear()
        request_id = seen.headers["X-Request-Id"]
        if not self._promises.record_arrival(request_id, self.name, self.zone):
            return
        self._promises.check_forwarded_headers(request_id, seen.headers)
        if seen.headers.get("X-Expect-Instance") != self.name:
            writer.write(make_head(seen, 421, 0))
            return
        if self.cold_left_ms:
            self._promises.record_cold_arrival(request_id, self.name)
        if self._rng.random() < self.pause_share:
            self._refuse_for(seen, writer)
            return
        is_faulty = self._rng.random() < self.fault_share
        fault = self.fault if is_faulty else ""
        if fault == "refuse":
            await refuse(seen, writer)
            return
        self._promises.record_run(request_id, self.name)
        self.runs += 1
        if fault == "hang":
            await asyncio.sleep(HANG_S)
        await asyncio.sleep(SERVICE_TIME_S)
        if fault in self._ANSWERS:
            await self._ANSWERS[fault](self, seen, writer)
        elif seen.target.startswith("/chat/"):
            mark = f" {self.software_version}"
            await make_stream_answer(EVENT_COUNT, pause_s=EVENT_INTERVAL_S, mark=mark)(
                seen, writer
            )
        else:
            body = self._make_body(seen)
            writer.write(make_head(seen, 200, len(body), **self._leave(seen)) + body)
        if not writer.is_closing():
            await writer.drain()

    def make_entry(self, service, **changes):
        """Return the entry that the server writes to the store."""
        fields = {
            "version": self.software_version,
            "zone": self.zone,
            "cold_left_ms": self.cold_left_ms,
            **changes,
        }
        return super().make_entry(service, **fields)

    def turn_cold(self, cold_ms):
        """Be cold for a time from now on; the entry has to be written again."""
        self._cold_end_ms = CLOCK.now() + cold_ms

    @property
    def cold_left_ms(self):
        """Time in ms for which the server stays cold."""
        return max(0, self._cold_end_ms - CLOCK.now())

    def _make_body(self, seen):
        request_id = seen.headers["X-Request-Id"]
        return make_expected_body(request_id, seen.target, self.software_version)

    def _leave(self, seen):
        """Return the header fields that say that the server leaves, or none."""
        if self._rng.random() >= self.leaving_share:
            return {}
        self._promises.record_said_leaving(seen.headers["X-Request-Id"], self.name)
        return {"Server_Leaving": "1"}

    def _refuse_for(self, seen, writer):
        text = self._rng.choice(ODD_PAUSES)
        if self._rng.random() < 0.75:
            seconds = self._rng.uniform(0.5, 3)
            text = f"{seconds:.3f}"
            self._promises.record_pause(
                seen.headers["X-Request-Id"], self.name, 1_000 * seconds
            )
        writer.write(make_head(seen, 503, 0, X_Not_Run="1", Retry_After=text))

    async def _answer_twice(self, seen, writer):
        body = self._make_body(seen)
        if "Last-Event-Id" in seen.headers:
            skipped = int(seen.headers["Last-Event-Id"])
            body = make_events(skipped + 1, self.software_version)
        is_stream = seen.target.startswith("/chat/")
        fields = {"Content_Type": "text/event-stream"} if is_stream else {}
        framing = self._rng.choice(("length", "chunks", "connection"))
        if framing == "length":
            answer = make_head(seen, 200, len(body), **fields) + body
        elif framing == "chunks":
            fields["Transfer_Encoding"] = "chunked"
            answer = make_head(seen, 200, **fields) + make_chunk(body) + make_chunk(b"")
        else:
            answer = make_head(seen, 200, **fields) + body
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(
            self._rng.choice((0, self._rng.random())) * MAX_COPY_DELAY_S
        )
        end = self._rng.choice((len(answer), self._rng.randrange(len(answer))))
        writer.write(answer[:end])
        await writer.drain()
        if self._rng.random() < 0.2:
            reset_connection(writer)

    async def _lose_answer(self, seen, writer):
        await reset(seen, writer)

    async def _answer_error(self, seen, writer):
        await fail(seen, writer)

    async def _tear_answer(self, seen, writer):
        await self._answer_unframed(seen, writer, True)

    async def _answer_unframed(self, seen, writer, is_torn=False):
        if seen.target.startswith("/chat/"):
            count = self._rng.randrange(EVENT_COUNT) if is_torn else EVENT_COUNT
            torn = TORN_EVENT if is_torn else b""
            mark = f" {self.software_version}"
            await make_unframed_answer(count, torn, mark=mark)(seen, writer)
            return
        body = self._make_body(seen)
        if not is_torn:
            await echo_unframed_body(evolve(seen, body=body), writer)
            return
        writer.write(make_head(seen, 200) + body[:3])
        await writer.drain()
        reset_connection(writer)

    _ANSWERS = {
        "errors": _answer_error,
        "lose": _lose_answer,
        "torn": _tear_answer,
        "twice": _answer_twice,
        "unframed": _answer_unframed,
    }
