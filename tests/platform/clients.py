"""HTTP client of the platform interface, for tests."""

import asyncio

from attrs import frozen

from tests.platform import fakes

WAIT_S = 5


@frozen
class ClientResponse:
    """Response that a client received.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection ended before the response header.
    headers : dict
        Header fields by name in lower case.
    body : bytes
        Received part of the body.
    is_complete : bool
        Whether the body has the length or the last chunk that the header announces.
    """

    status: int
    headers: dict
    body: bytes
    is_complete: bool


class Client:
    """An HTTP client on one connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, host, port):
        """Open a connection to a node."""
        return cls(*await asyncio.open_connection(host, port))

    def send(self, name, target, method="POST", body=b"", **fields):
        """Send a request."""
        given = {
            "Host": fakes.HOST_NAME,
            "X-Request-Id": name,
            "X-Deadline-Ms": "2000",
            "Api-Key": fakes.KEY,
            "Content-Length": str(len(body)),
        }
        given |= {key.replace("_", "-"): value for key, value in fields.items()}
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [
            f"{key}: {value}" for key, value in given.items() if value is not None
        ]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def read(self):
        """Return the next response."""
        async with asyncio.timeout(WAIT_S):
            try:
                text = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            except (asyncio.IncompleteReadError, ConnectionError):
                return ClientResponse(0, {}, b"", False)
            line, *fields = text.strip().split("\r\n")
            headers = {}
            for field in fields:
                name, _, value = field.partition(": ")
                headers[name.lower()] = value
            status = int(line.split(" ")[1])
            return ClientResponse(status, headers, *await self._read_body(headers))

    async def _read_body(self, headers):
        body = b""
        try:
            if "content-length" in headers:
                body = await self.reader.readexactly(int(headers["content-length"]))
                return body, True
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                body += (await self.reader.readexactly(size + 2))[:-2]
                if not size:
                    return body, True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return body, False

    async def fetch(self, *args, **kwargs):
        """Send a request and return the response."""
        self.send(*args, **kwargs)
        return await self.read()

    def close(self):
        """Close the connection."""
        self.writer.close()
