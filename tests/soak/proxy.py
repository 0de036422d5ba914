"""TCP proxy on loopback that injects network faults into its connections."""

import asyncio
import enum

from tests.platform.fakes import reset_connection

READ_BYTES = 1 << 16


class Direction(enum.Enum):
    """Direction of bytes: up from the client to the target, or down to the client."""

    UP = "up"
    DOWN = "down"


class Proxy:
    """Forwards connections to one address, with faults.

    Parameters
    ----------
    target : str
        ``HOST:PORT`` to which connections are forwarded; the proxy listens on the
        same host.

    Attributes
    ----------
    delay_ms : int
        Delay of the bytes in ms, in each direction.
    blocked : set of Direction
        Directions in which bytes are held back until they are unblocked.
    """

    def __init__(self, target):
        self.host, _, port = target.partition(":")
        self.target = self.host, int(port)
        self.delay_ms = 0
        self.blocked = set()
        self._unblocked = asyncio.Event()
        self._unblocked.set()
        self._closed = asyncio.Event()
        self._connections = set()
        self._half_open = set()
        self._server = None

    async def start(self):
        """Listen on a free port and set `port`."""
        self._server = await asyncio.start_server(self._handle_connection, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """Return ``HOST:PORT``."""
        return f"{self.host}:{self.port}"

    def block(self, directions):
        """Hold bytes back in the given directions only; none unblocks the proxy."""
        self.blocked = set(directions)
        if self.blocked:
            self._unblocked.clear()
        else:
            self._unblocked.set()

    def reset(self):
        """Reset all open connections."""
        for _, writers in self._connections:
            for writer in writers:
                writer.transport.abort()

    def make_half_open(self):
        """Make all open connections half-open: they stay, but forward nothing more."""
        self._half_open |= {task for task, _ in self._connections}

    async def close(self):
        """Stop listening and reset all open connections."""
        self._server.close()
        self.reset()
        # Wakes the tasks that wait in blocked or half-open connections.
        self._closed.set()
        self.block(())

    async def _handle_connection(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        connection = (asyncio.current_task(), (writer, target_writer))
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                up = self._forward(connection[0], reader, target_writer, Direction.UP)
                down = self._forward(
                    connection[0], target_reader, writer, Direction.DOWN
                )
                group.create_task(up)
                group.create_task(down)
        except* OSError:
            for one in (writer, target_writer):
                if not one.transport.is_closing():
                    reset_connection(one)
        finally:
            self._connections.discard(connection)
            self._half_open.discard(connection[0])
            writer.close()
            target_writer.close()

    async def _forward(self, task, reader, writer, direction):
        while True:
            data = await reader.read(READ_BYTES)
            if self.delay_ms:
                await asyncio.sleep(self.delay_ms / 1000)
            while direction in self.blocked:
                await self._unblocked.wait()
            if task in self._half_open:
                await self._closed.wait()
                return
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
