"""Reads and writes HTTP/1.1 messages on asyncio streams, as the stand-ins need them."""

import asyncio


class Message:
    """One request or response.

    Attributes
    ----------
    start_line : str
        Request line or status line.
    headers : dict
        Values by name in lower case.
    body : bytes
        The body, as far as it came.
    complete : bool
        Whether the whole message came.
    """

    def __init__(self, start_line, headers):
        self.start_line = start_line
        self.headers = headers
        self.body = b""
        self.complete = False

    @property
    def status(self):
        """Status of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def target(self):
        """Target of a request."""
        return self.start_line.split(" ")[1]


async def read_message(reader, on_data=None):
    """Return the next message, or None at the end of the connection.

    Parameters
    ----------
    reader : asyncio.StreamReader
        The connection.
    on_data : callable
        Coroutine function that is awaited with the size of each part of the body.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    message = Message(lines[0], headers)
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            await _read_chunks(reader, message, on_data)
        else:
            await _read_length(reader, message, on_data)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.complete = False
    return message


async def _read_length(reader, message, on_data):
    left = int(message.headers.get("content-length", "0"))
    parts = []
    while left:
        part = await reader.read(min(left, 65_536))
        if not part:
            break
        parts.append(part)
        left -= len(part)
        if on_data is not None:
            await on_data(len(part))
    message.body = b"".join(parts)
    message.complete = not left


async def _read_chunks(reader, message, on_data):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if not size:
            await reader.readuntil(b"\r\n")
            message.complete = True
            return
        message.body += await reader.readexactly(size)
        await reader.readexactly(2)
        if on_data is not None:
            await on_data(size)


def write_response(status, headers, body, reason="Answer"):
    """Return the bytes of a response with a length.

    Parameters
    ----------
    status : int
        The status.
    headers : dict
        Further header fields.
    body : bytes
        The body.
    reason : str
        Text of the status line.
    """
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
