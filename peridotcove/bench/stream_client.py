"""A minimal client for streamed chats, which adds little processor time of its own."""

import asyncio
import json
from urllib.parse import urlsplit

from attrs import define, field

EVENT_PREFIX = b"data: "
END_MARK = b"data: [DONE]"
TAIL_BYTES = 16


@define
class StreamTiming:
    """Timing of one streamed answer, as seen by the client.

    Attributes
    ----------
    start_s : float
        Time of sending, in s on the event loop's clock.
    times_s : list of float
        Time of each read that contained an event.
    tokens : int
        Events received, without the end mark.
    is_complete : bool
        Whether the end mark was received.
    status : bytes
        Status line.
    """

    start_s: float = 0.0
    times_s: list = field(factory=list)
    tokens: int = 0
    is_complete: bool = False
    status: bytes = b""

    @property
    def first_us(self):
        """Time to the first event in µs; None without an event."""
        if not self.times_s:
            return None
        return (self.times_s[0] - self.start_s) * 1e6

    def gaps_us(self):
        """Yield the time between reads in µs."""
        for before, after in zip(self.times_s, self.times_s[1:], strict=False):
            yield (after - before) * 1e6


class StreamClient(asyncio.Protocol):
    """One streamed chat on its own connection.

    Parameters
    ----------
    request : bytes
        Header and body of the request.
    reads_answer : bool
        Whether to read the answer.
    """

    def __init__(self, request, reads_answer=True):
        self._request = request
        self._reads_answer = reads_answer
        self._loop = asyncio.get_running_loop()
        self._tail = b""
        self.transport = None
        self.timing = StreamTiming()
        self.ended = self._loop.create_future()

    def connection_made(self, transport):
        """Send the request.

        Parameters
        ----------
        transport : asyncio.Transport
            The connection.
        """
        self.transport = transport
        self.timing.start_s = self._loop.time()
        transport.write(self._request)
        if not self._reads_answer:
            transport.pause_reading()

    def data_received(self, data):
        """Count events.

        Parameters
        ----------
        data : bytes
            Bytes that were read.
        """
        timing = self.timing
        if not timing.status:
            timing.status = data.split(b"\r\n", 1)[0]
        events = data.count(EVENT_PREFIX)
        if events:
            timing.times_s.append(self._loop.time())
            timing.tokens += events
        if END_MARK in self._tail + data:
            timing.tokens -= 1
            timing.is_complete = True
            self.transport.close()
        self._tail = data[-TAIL_BYTES:]

    def connection_lost(self, error):
        """Complete the `ended` future.

        Parameters
        ----------
        error : Exception or None
            Reason of the loss, if it was an error.
        """
        if not self.ended.done():
            self.ended.set_result(self.timing)


def make_request(url, key, body):
    """Return header and body of a chat request as bytes.

    Parameters
    ----------
    url : str
        Base URL of a node or an engine.
    key : str
        API key.
    body : dict
        The request.
    """
    raw = json.dumps(body).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {urlsplit(url).netloc}\r\n"
        f"Authorization: Bearer {key}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(raw)}\r\n\r\n"
    )
    return head.encode() + raw


async def open_stream(url, key, body, reads_answer=True):
    """Start one chat and return its `StreamClient`.

    Parameters
    ----------
    url : str
        Base URL of a node or an engine.
    key : str
        API key.
    body : dict
        The request.
    reads_answer : bool
        Whether to read the answer.
    """
    address = urlsplit(url)
    request = make_request(url, key, body)
    loop = asyncio.get_running_loop()
    _, client = await loop.create_connection(
        lambda: StreamClient(request, reads_answer), address.hostname, address.port
    )
    return client


async def run_stream(url, key, body):
    """Run one chat and return its `StreamTiming`.

    Parameters
    ----------
    url : str
        Base URL of a node or an engine.
    key : str
        API key.
    body : dict
        The request.
    """
    client = await open_stream(url, key, body)
    return await client.ended
