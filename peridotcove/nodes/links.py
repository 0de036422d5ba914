"""Links between nodes over websockets.

A node sends on connections that it dialed and receives on those that it accepted, so
that each direction is watched and renewed by itself. A connection is dialed when there
is something to send. Frames wait in a bounded queue; what does not fit is lost, which
every user of `Network` expects.
"""

import asyncio

from attrs import define, field
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from peridotcove.exceptions import LinkDown, ProtocolError
from peridotcove.logs import get_logger
from peridotcove.nodes.handshake import accept, dial
from peridotcove.nodes.messages import MAX_FRAME_BYTES, decode, encode
from peridotcove.nodes.network import Network

OPEN_MS = 1_000
QUEUE_FRAMES = 1_024
REDIAL_MS = 250
TCP_IP_BYTES = 52
CLIENT_FRAME_BYTES = 8

log = get_logger("links")


@define(eq=False)
class Link:
    """The dialed connection to one peer and the frames that wait for it."""

    peer: str
    host: str
    port: int
    queue: asyncio.Queue = field(factory=lambda: asyncio.Queue(QUEUE_FRAMES))
    task: asyncio.Task | None = None
    failed_ms: int = -REDIAL_MS


class Links(Network):
    """All links of one node.

    Parameters
    ----------
    identity : Identity
        This node.
    secret : bytes
        Shared secret of the nodes.
    clock : Clock
        Source of time.
    traffic : callable
        Called with ``"in"`` or ``"out"``, the name of the message and its bytes on the
        wire.

    Attributes
    ----------
    revision : int
        Revision of the configuration in force, on every frame.
    on_message : callable or None
        Called with the peer's name, a message and the revision on its frame.
    """

    def __init__(self, identity, secret, clock, traffic=lambda way, kind, size: None):
        super().__init__()
        self.identity = identity
        self.revision = 0
        self._secret = secret
        self._clock = clock
        self._traffic = traffic
        self._link_by_peer = {}
        self._server = None

    async def listen(self, host, port):
        """Accept links and return the port.

        Parameters
        ----------
        host : str
            IP number.
        port : int
            Port; 0 takes one from the system.
        """
        self._server = await serve(
            self._receive,
            host,
            port,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
            open_timeout=OPEN_MS / 1000,
            close_timeout=OPEN_MS / 1000,
            server_header=None,
        )
        return self._server.sockets[0].getsockname()[1]

    def set_peers(self, instances):
        """Learn where the other nodes are; links to nodes not named are closed.

        Parameters
        ----------
        instances : iterable of Instance
            The other nodes.
        """
        place_by_name = {item.name: (item.host, item.port) for item in instances}
        place_by_name.pop(self.identity.node, None)
        for peer, link in list(self._link_by_peer.items()):
            if place_by_name.get(peer) != (link.host, link.port):
                self._close(link)
        for peer, (host, port) in place_by_name.items():
            if peer not in self._link_by_peer:
                self._link_by_peer[peer] = Link(peer, host, port)

    def send(self, peer, message):
        """Hand a message to the link to a peer, dialing first if need be.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            A message of `peridotcove.nodes.messages`.

        Raises
        ------
        LinkDown
            If the peer is not known, was just not reachable, or its queue is full.
        """
        link = self._link_by_peer.get(peer)
        if link is None:
            raise LinkDown(f"no address of {peer!r}")
        if link.task is None:
            if self._clock.now() - link.failed_ms < REDIAL_MS:
                raise LinkDown(f"{peer!r} is not reachable")
            link.task = asyncio.create_task(self._write(link))
        try:
            frame = encode(message, self.revision)
            link.queue.put_nowait((type(message).__name__, frame))
        except asyncio.QueueFull:
            raise LinkDown(f"the queue to {peer!r} is full") from None

    def renew(self, peer):
        """Give up the open connection to a peer and dial another on the next send.

        Parameters
        ----------
        peer : str
            Name of the node.
        """
        link = self._link_by_peer.get(peer)
        if link is not None:
            self._close(link)
            self._link_by_peer[peer] = Link(peer, link.host, link.port)

    async def close(self):
        """Close every link."""
        for link in list(self._link_by_peer.values()):
            self._close(link)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def _close(self, link):
        self._link_by_peer.pop(link.peer, None)
        if link.task is not None:
            link.task.cancel()

    async def _write(self, link):
        url = f"ws://{link.host}:{link.port}"
        try:
            async with connect(
                url,
                compression=None,
                max_size=MAX_FRAME_BYTES,
                ping_interval=None,
                open_timeout=OPEN_MS / 1000,
                close_timeout=OPEN_MS / 1000,
                user_agent_header=None,
                proxy=None,
            ) as socket:
                hello = dial(socket, self.identity, self._secret, link.peer)
                await asyncio.wait_for(hello, OPEN_MS / 1000)
                await self._pump(link, socket)
        except (OSError, TimeoutError, WebSocketException, ProtocolError) as error:
            log.warning("link to %s closed: %s", link.peer, error)
        finally:
            link.failed_ms = self._clock.now()
            link.task = None
            _empty(link.queue)

    async def _pump(self, link, socket):
        closed = asyncio.create_task(socket.wait_closed())
        closed.add_done_callback(lambda _: _wake(link.queue))
        try:
            while True:
                item = await link.queue.get()
                if item is None or closed.done():
                    return
                kind, frame = item
                await socket.send(frame)
                size = len(frame) + CLIENT_FRAME_BYTES + TCP_IP_BYTES
                self._traffic("out", kind, size)
        finally:
            closed.cancel()

    async def _receive(self, socket):
        try:
            hello = accept(socket, self.identity, self._secret)
            peer = (await asyncio.wait_for(hello, OPEN_MS / 1000)).node
            async for frame in socket:
                self._take(peer, frame)
        except (TimeoutError, ProtocolError) as error:
            log.warning("link refused: %s", error)
        except WebSocketException:
            pass

    def _take(self, peer, frame):
        if not isinstance(frame, bytes):
            raise ProtocolError(f"{peer!r} sent text")
        message, revision = decode(frame)
        size = len(frame) + CLIENT_FRAME_BYTES + TCP_IP_BYTES
        self._traffic("in", type(message).__name__, size)
        if self.on_message is not None:
            self.on_message(peer, message, revision)


def _empty(queue):
    while not queue.empty():
        queue.get_nowait()


def _wake(queue):
    if not queue.full():
        queue.put_nowait(None)
