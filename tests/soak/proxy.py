"""A proxy on loopback that harms the connections which pass through it."""

import asyncio
import enum

BLOCK_BYTES = 1 << 16


class Direction(enum.Enum):
    """Which way bytes go, as seen by who opened the connection."""

    UP = "up"
    DOWN = "down"


class Proxy:
    """Passes connections on to one address.

    Parameters
    ----------
    target : str
        ``HOST:PORT`` to which connections are passed on; the proxy listens at the same
        host.

    Attributes
    ----------
    delay_ms : int
        How much later bytes arrive, each way.
    cut : set of Direction
        Ways on which bytes wait until the cut ends.
    """

    def __init__(self, target):
        self.host, _, port = target.partition(":")
        self.target = self.host, int(port)
        self.delay_ms = 0
        self.cut = set()
        self._healed = asyncio.Event()
        self._healed.set()
        self._closed = asyncio.Event()
        self._tasks = set()
        self._silent = set()
        self._server = None

    async def start(self):
        """Listen; `port` is known after that."""
        self._server = await asyncio.start_server(self._pass, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """Return ``HOST:PORT``."""
        return f"{self.host}:{self.port}"

    def cut_ways(self, ways):
        """Hold bytes back on some ways; none to heal."""
        self.cut = set(ways)
        if self.cut:
            self._healed.clear()
        else:
            self._healed.set()

    def reset(self):
        """Reset all open connections."""
        for _, writers in self._tasks:
            for writer in writers:
                writer.transport.abort()

    def silence(self):
        """Let the connections that are open pass nothing on any more."""
        self._silent |= {task for task, _ in self._tasks}

    async def close(self):
        """Stop listening and reset what is open."""
        self._server.close()
        self.reset()
        # Ends what waits for the end of a cut or of a silence.
        self._closed.set()
        self.cut_ways(())

    async def _pass(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        entry = (asyncio.current_task(), (writer, far_writer))
        self._tasks.add(entry)
        try:
            async with asyncio.TaskGroup() as group:
                up = self._carry(entry[0], reader, far_writer, Direction.UP)
                down = self._carry(entry[0], far_reader, writer, Direction.DOWN)
                group.create_task(up)
                group.create_task(down)
        except* OSError:
            writer.transport.abort()
            far_writer.transport.abort()
        finally:
            self._tasks.discard(entry)
            self._silent.discard(entry[0])
            writer.close()
            far_writer.close()

    async def _carry(self, task, reader, writer, way):
        while True:
            data = await reader.read(BLOCK_BYTES)
            if self.delay_ms:
                await asyncio.sleep(self.delay_ms / 1000)
            while way in self.cut:
                await self._healed.wait()
            if task in self._silent:
                await self._closed.wait()
                return
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
