"""Stand-in for a server of a plain service."""

import asyncio
import time

from rig_2.http_messages import read_message, write_response


class PlainServer:
    """A sound server; a case gives it the trouble that it needs.

    Parameters
    ----------
    store : Store
        Store in which it registers itself.
    host, name, service, zone : str
        Its loopback address, id, service and zone.
    record : Record
        Takes what it ran.
    slots : int
        Requests that it runs at once, as registered.

    Attributes
    ----------
    work_s : float
        Time that a request takes.
    write_answer : callable
        Coroutine function that writes the answer; called with the server, the request
        and the connection's writer.
    runs : list of tuple
        Time and id of each request that it ran.
    """

    def __init__(self, store, host, name, service, zone, record, slots=6):
        self.store = store
        self.host = host
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = slots
        self.work_s = 0.02
        self.write_answer = write_sound_answer
        self.runs = []
        self.broken = []
        self._server = None
        self._born = int(time.time() * 1000)
        self._writers = set()

    async def start(self):
        """Start to listen on a free port, and register."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.register("ready")

    def register(self, state):
        """Write the entry.

        Parameters
        ----------
        state : str
            ``ready`` or ``draining``.
        """
        entry = {
            "service": self.service,
            "addr": f"{self.host}:{self._server.sockets[0].getsockname()[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": self._born,
        }
        self.store.put(f"servers/{self.name}", entry)

    def unregister(self):
        """Remove the entry."""
        self.store.delete(f"servers/{self.name}")

    def stop(self):
        """End, with a reset of what is in progress, as a process that exits."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._handle(request, writer)
                if writer.is_closing():
                    break
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request, writer):
        expected = request.headers.get("x-expect-instance", self.name)
        identity = {"X-Instance-Id": self.name}
        if expected != self.name:
            writer.write(write_response(421, identity, b""))
        elif request.target == "/health":
            writer.write(write_response(200, identity, b""))
        else:
            request_id = request.headers.get("x-request-id", "")
            self.runs.append((time.monotonic(), request_id))
            self.record.write(f"{self.name} runs {request_id}")
            try:
                await asyncio.sleep(self.work_s)
                await self.write_answer(self, request, writer)
            except ConnectionError:
                self.record.write(f"{self.name} was cut off from {request_id}")
        await writer.drain()


def make_headers(server, request):
    """Return the header fields that a server's answer has.

    Parameters
    ----------
    server : PlainServer
        The server.
    request : Message
        The request.
    """
    return {
        "X-Request-Id": request.headers.get("x-request-id", ""),
        "X-Server-Stamp": f"{server.name}.{len(server.runs)}",
    }


async def write_sound_answer(server, request, writer):
    """Answer with a body of 800 bytes.

    Parameters
    ----------
    server : PlainServer
        The server.
    request : Message
        The request.
    writer : asyncio.StreamWriter
        The connection.
    """
    body = (request.headers.get("x-request-id", "").encode() + b" ") * 800
    writer.write(write_response(200, make_headers(server, request), body[:800]))
