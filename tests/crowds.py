"""Crowds of clients that keep to no rule, and what a node's process holds beside them.

The crowds send from the test's process with raw sockets; the node is a process of its
own. Nothing here depends on how fast the machine is: `CROWD_S` only ends the wait for
clients whose bytes the node doesn't read.
"""

import asyncio
import os
import pathlib
import socket

HOLD_BODY_BYTES = 4 << 20
PIECE_BYTES = 16_384
LARGE_CHUNK_BYTES = 1 << 20
# Receive buffer of clients that read nothing.
SMALL_BUFFER_BYTES = 4_096
# Longest wait for a crowd to send what the node takes.
CROWD_S = 6
MB = 1 << 20


def make_head(target, *fields, key="Api-Key: key-of-a-customer", host="desk.example"):
    """Return the head of a POST request as bytes."""
    lines = [f"POST {target} HTTP/1.1", f"Host: {host}", key, *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def send_whole_body(target, **extra):
    """Return the parts of a request that lacks its last byte: head and body."""
    head = make_head(target, f"Content-Length: {HOLD_BODY_BYTES}", **extra)
    return [head, b"x" * (HOLD_BODY_BYTES - 1)]


def send_body_in_pieces(target, **extra):
    """Return the parts of a request that lacks its last byte, in small pieces."""
    head, body = send_whole_body(target, **extra)
    view = memoryview(body)
    starts = range(0, len(body), PIECE_BYTES)
    return [head, *(view[start : start + PIECE_BYTES] for start in starts)]


def send_large_chunks(target, **extra):
    """Return the parts of a chunked request without its end, in large chunks."""
    head = make_head(target, "Transfer-Encoding: chunked", **extra)
    chunk = b"%x\r\n%b\r\n" % (LARGE_CHUNK_BYTES, b"x" * LARGE_CHUNK_BYTES)
    return [head, *[chunk] * (HOLD_BODY_BYTES // LARGE_CHUNK_BYTES)]


def send_tiny_chunks(target, count, **extra):
    """Return the parts of a chunked request without its end, in chunks of a byte."""
    head = make_head(target, "Transfer-Encoding: chunked", **extra)
    return [head, b"1\r\nx\r\n" * count]


def send_unfinished_head(size):
    """Return the parts of a head of a given size without its end."""
    return [b"GET / HTTP/1.1\r\nHost: desk.example\r\nX-Filler: " + b"x" * size]


class Crowd:
    """Connections to one port, kept open until `close`.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    """

    def __init__(self, host, port):
        self._address = (host, port)
        self._socks = []
        self._tasks = []

    async def send(self, count, parts, small_buffer=False):
        """Open connections and send parts on each, until the node takes no more.

        Parameters
        ----------
        count : int
            Number of connections.
        parts : list of bytes
            What each sends.
        small_buffer : bool
            Whether the system receives little for clients that don't read.
        """
        new = [
            asyncio.create_task(self._send(parts, small_buffer)) for _ in range(count)
        ]
        self._tasks += new
        await asyncio.wait(new, timeout=CROWD_S)

    async def _send(self, parts, small_buffer):
        sock = socket.socket()
        self._socks.append(sock)
        sock.setblocking(False)
        if small_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, self._address)
            for part in parts:
                await loop.sock_sendall(sock, part)
        except OSError:
            # The node refuses the client or closes its connection.
            return

    async def close(self):
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._socks:
            sock.close()


class ProcessWatch:
    """Reads what a process holds, and how many descriptors it had at most.

    Parameters
    ----------
    pid : int
        Id of the process.
    """

    def __init__(self, pid):
        self._folder = pathlib.Path(f"/proc/{pid}")
        self.most_descriptors = 0
        self._task = asyncio.create_task(self._count_descriptors())

    async def _count_descriptors(self):
        while True:
            count = len(os.listdir(self._folder / "fd"))
            self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(0.02)

    @property
    def peak_bytes(self):
        """Largest resident memory of the process so far."""
        return self._read_bytes("VmHWM")

    @property
    def resident_bytes(self):
        """Resident memory of the process."""
        return self._read_bytes("VmRSS")

    def _read_bytes(self, name):
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) * 1_024
        raise ValueError(f"no {name} in the status of the process")

    async def close(self):
        """Stop counting."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
