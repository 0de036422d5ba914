"""Links between nodes over websockets.

A node sends on connections that it dialed and receives on those that it accepted, so
that each direction is watched and renewed by itself. A connection is dialed when there
is something to send. Frames wait in a bounded queue; what does not fit is lost, which
every user of `Network` expects.
"""

import asyncio
import collections

from attrs import define, field

from peridotcove.exceptions import LinkDown
from peridotcove.logs import get_logger
from peridotcove.nodes.handshake import accept, dial
from peridotcove.nodes.messages import MAX_FRAME_BYTES, decode, encode
from peridotcove.nodes.network import Network
from peridotcove.nodes.sockets import SOCKET_ERRORS, make_client, make_server

OPEN_MS = 1_000
WAITING_FRAMES = 1_024
REDIAL_MS = 250
TCP_IP_BYTES = 52
CLIENT_FRAME_BYTES = 8

log = get_logger("links")


@define(eq=False)
class Link:
    """The dialed connection to one peer, and frames that wait until it is open."""

    peer: str
    host: str
    port: int
    socket: object = None
    task: asyncio.Task | None = None
    waiting: collections.deque = field(factory=collections.deque)
    failed_ms: int = -REDIAL_MS


class LinkManager(Network):
    """All links of one node.

    Parameters
    ----------
    identity : Identity
        This node.
    secret : bytes
        Shared secret of the nodes.
    clock : Clock
        Source of time.
    on_traffic : callable
        Called with ``"in"`` or ``"out"``, the name of the message and its bytes on the
        wire.

    Attributes
    ----------
    revision : int
        Revision of the configuration in force, on every frame.
    on_message : callable or None
        Called with the peer's name, a message and the revision on its frame.
    """

    def __init__(
        self, identity, secret, clock, on_traffic=lambda way, kind, size: None
    ):
        super().__init__()
        self.identity = identity
        self.revision = 0
        self._secret = secret
        self._clock = clock
        self._on_traffic = on_traffic
        self._link_by_peer = {}
        self._server = None
        self._accepted = set()
        self._tasks = set()

    async def listen(self, host, port):
        """Accept links and return the port.

        Parameters
        ----------
        host : str
            IP number.
        port : int
            Port; 0 takes one from the system.
        """
        make = make_server(MAX_FRAME_BYTES, self._accept, self._accepted.discard)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(make, host, port)
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
        frame = encode(message, self.revision)
        kind = type(message).__name__
        if link.socket is not None:
            self._put(link, kind, frame)
            return
        if link.task is None:
            if self._clock.now() - link.failed_ms < REDIAL_MS:
                raise LinkDown(f"{peer!r} is not reachable")
            link.task = asyncio.create_task(self._dial(link))
        if len(link.waiting) >= WAITING_FRAMES:
            raise LinkDown(f"too much waits for {peer!r}")
        link.waiting.append((kind, frame))

    def _put(self, link, kind, frame):
        link.socket.send(frame)
        self._on_traffic("out", kind, len(frame) + CLIENT_FRAME_BYTES + TCP_IP_BYTES)

    def reset_link(self, peer):
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
        for socket in list(self._accepted):
            socket.close()
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def _close(self, link):
        self._link_by_peer.pop(link.peer, None)
        if link.task is not None:
            link.task.cancel()
        if link.socket is not None:
            link.socket.close()

    async def _dial(self, link):
        socket = None
        loop = asyncio.get_running_loop()
        make = make_client(
            link.host, link.port, MAX_FRAME_BYTES, lambda _: self._lose(link)
        )
        try:
            async with asyncio.timeout(OPEN_MS / 1000):
                _, socket = await loop.create_connection(make, link.host, link.port)
                await socket.open()
                await dial(socket, self.identity, self._secret, link.peer)
            link.socket = socket
            while link.waiting:
                self._put(link, *link.waiting.popleft())
        except SOCKET_ERRORS as error:
            log.warning("link to %s closed: %s", link.peer, error)
            self._lose(link)
        finally:
            link.task = None
            if socket is not None and link.socket is not socket:
                socket.close()

    def _lose(self, link):
        link.socket = None
        link.failed_ms = self._clock.now()
        link.waiting.clear()

    def _accept(self, socket):
        self._accepted.add(socket)
        task = asyncio.create_task(self._greet(socket))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _greet(self, socket):
        try:
            async with asyncio.timeout(OPEN_MS / 1000):
                await socket.open()
                hello = await accept(socket, self.identity, self._secret)
            socket.hand_over(lambda frame: self._take(hello.node, socket, frame))
        except SOCKET_ERRORS as error:
            log.warning("link refused: %s", error)
            socket.close()

    def _take(self, peer, socket, frame):
        message, revision = decode(frame)
        size = len(frame) + CLIENT_FRAME_BYTES + TCP_IP_BYTES
        self._on_traffic("in", type(message).__name__, size)
        if self.on_message is not None:
            self.on_message(peer, message, revision)
