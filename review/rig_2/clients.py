"""Stand-in for clients: each request has an id of its own and a new connection."""

import asyncio
import itertools
import os
import socket
import time

from rig_2.http_messages import read_message

_numbers = itertools.count(1)
_PREFIX = os.urandom(4).hex()


class Outcome:
    """What a client saw of one request.

    Attributes
    ----------
    request_id : str
        Its id.
    sent_s : float
        Monotonic time at which its last byte was sent.
    took_s : float
        Time until its end.
    response : Message or None
        The response; None if the connection ended without any.
    """

    def __init__(self, request_id, sent_s, took_s, response):
        self.request_id = request_id
        self.sent_s = sent_s
        self.took_s = took_s
        self.response = response

    @property
    def text(self):
        """Describes the outcome in a few words."""
        if self.response is None:
            return "no answer, the connection ended"
        whole = "whole" if self.response.complete else "cut off"
        size = len(self.response.body)
        return f"{self.response.status}, {whole}, {size} bytes"


async def send(address, host, path, method="POST", body=b"", **options):
    """Send a request and return its `Outcome`.

    Parameters
    ----------
    address : str
        Address of the node, ``HOST:PORT``.
    host : str
        Host header.
    path : str
        Path.
    method : str
        Method.
    body : bytes
        Body.
    **options : object
        ``deadline_ms``: the client's deadline; ``on_data``: see `read_message`;
        ``headers``: further header fields; ``window_bytes``: size of the buffer for
        received bytes.
    """
    request_id = f"{_PREFIX}{next(_numbers):08x}"
    deadline_ms = options.get("deadline_ms", 1_500)
    fields = {
        "Host": host,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": deadline_ms,
        "Content-Length": len(body),
        **options.get("headers", {}),
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    ip, _, port = address.rpartition(":")
    began_s = time.monotonic()
    writer, response = None, None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(
                sock=await _connect(ip, int(port), options.get("window_bytes"))
            )
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            began_s = time.monotonic()
            response = await read_message(reader, options.get("on_data"))
    except (OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return Outcome(request_id, began_s, time.monotonic() - began_s, response)


async def _connect(ip, port, window_bytes):
    sock = socket.socket()
    sock.setblocking(False)
    if window_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (ip, port))
    except BaseException:
        sock.close()
        raise
    return sock
