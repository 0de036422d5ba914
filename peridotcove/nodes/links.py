"""Links between nodes over websockets.

A node sends on connections that it dialed and receives on those that it accepted, so
that each direction is monitored and reset independently. A connection is dialed on the
first send. Until it is open, frames wait in a bounded queue; a message that does not
fit is lost, which users of `Network` must tolerate.
"""

import asyncio
import collections

from attrs import define, field

from peridotcove.exceptions import (
    IncompatiblePeer,
    LinkDown,
    PeerTooOld,
    UnknownMessage,
)
from peridotcove.logs import get_logger
from peridotcove.nodes.compression import compress_frame, decode_frame
from peridotcove.nodes.handshake import accept, dial
from peridotcove.nodes.messages import MAX_FRAME_BYTES, encode
from peridotcove.nodes.network import Network
from peridotcove.nodes.peer_builds import PeerBuilds
from peridotcove.nodes.relay_protocol import NodePort, UnknownPeers
from peridotcove.nodes.sockets import (
    SOCKET_ERRORS,
    make_client_factory,
    make_server_factory,
)

OPEN_TIMEOUT_MS = 1_000
# Connect timeout of the first dial, doubled by each failure up to `OPEN_TIMEOUT_MS`.
# Nodes that start at the same time dial each other before all of them are reachable,
# and the system sends a lost opening packet again only after a second.
FIRST_CONNECT_TIMEOUT_MS = 250
MAX_QUEUED_FRAMES = 1_024
REDIAL_DELAY_MS = 100
MAX_UNKNOWN_PEERS = 512
MAX_DOUBLINGS = 8
TCP_IP_HEADER_BYTES = 52
FRAME_HEADER_BYTES = 8
# Name in metrics of messages that this build does not know.
UNKNOWN_KIND = "unknown"

log = get_logger("links")


@define(eq=False)
class Link:
    """The outgoing connection to one peer, and frames queued until it is open."""

    peer: str
    host: str
    port: int
    socket: object = None
    task: asyncio.Task | None = None
    queued_frames: collections.deque = field(factory=collections.deque)
    last_failure_ms: int = -REDIAL_DELAY_MS
    failure_count: int = 0
    # Whether the peer reads compressed frames, as it says when the link opens.
    is_compressed: bool = False
    # Whether this node closes the connection.
    is_closing: bool = False

    @property
    def connect_timeout_ms(self):
        """Longest wait in ms for the connection of the next dial."""
        doublings = min(self.failure_count, MAX_DOUBLINGS)
        return min(OPEN_TIMEOUT_MS, FIRST_CONNECT_TIMEOUT_MS << doublings)


class LinkManager(Network):
    """Opens, accepts and resets the links of one node.

    Parameters
    ----------
    identity : Identity
        Identity of this node.
    secret : bytes
        Shared secret of the nodes.
    clock : Clock
        Source of time.
    on_traffic : callable
        Called with ``"in"`` or ``"out"``, the name of the message class and its size on
        the wire in bytes.
    max_unknown_peers : int
        Largest number of accepted connections that have not said who they are.

    Attributes
    ----------
    revision : int
        Revision of the configuration in force, which is sent with every frame.
    on_message : callable or None
        Called with the peer's name, a message and the revision of its frame.
    make_relay_protocol : callable or None
        Returns the protocol of a connection that is to be relayed; None if this node
        relays none.
    peer_builds : PeerBuilds
        Builds and protocols of the other nodes.
    """

    def __init__(
        self,
        identity,
        secret,
        clock,
        on_traffic=lambda direction, kind, size: None,
        max_unknown_peers=MAX_UNKNOWN_PEERS,
    ):
        super().__init__()
        self.identity = identity
        self.revision = 0
        self.make_relay_protocol = None
        self.peer_builds = PeerBuilds(clock)
        self._secret = secret
        self._clock = clock
        self._on_traffic = on_traffic
        self._link_by_peer = {}
        self._server = None
        self._accepted = set()
        self._unknown_peers = UnknownPeers(max_unknown_peers)
        self._tasks = set()

    async def listen(self, host, port, early_socket=None):
        """Start accepting links and return the port.

        Parameters
        ----------
        host : str
            IP address.
        port : int
            Port; 0 lets the system choose one.
        early_socket : socket.socket or None
            Socket that listens at the address already.
        """
        make_link = make_server_factory(
            MAX_FRAME_BYTES, self._accept, self._accepted.discard
        )

        def make_port():
            return NodePort(
                make_link,
                self.make_relay_protocol,
                OPEN_TIMEOUT_MS,
                self._unknown_peers,
            )

        loop = asyncio.get_running_loop()
        address = (
            {"sock": early_socket} if early_socket else {"host": host, "port": port}
        )
        self._server = await loop.create_server(make_port, **address)
        return self._server.sockets[0].getsockname()[1]

    def set_peers(self, instances):
        """Update the addresses of the other nodes and close links to removed ones.

        Parameters
        ----------
        instances : iterable of Instance
            Nodes to keep links to; this node itself is skipped.
        """
        address_by_name = {item.name: (item.host, item.port) for item in instances}
        address_by_name.pop(self.identity.node, None)
        for peer, link in list(self._link_by_peer.items()):
            if address_by_name.get(peer) != (link.host, link.port):
                self._close(link)
        for peer, (host, port) in address_by_name.items():
            if peer not in self._link_by_peer:
                self._link_by_peer[peer] = Link(peer, host, port)
        self.peer_builds.keep(address_by_name)

    def send(self, peer, message):
        """Send a message on the link to a peer, and dial the peer if it is not open.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            A message of `peridotcove.nodes.messages`.

        Raises
        ------
        LinkDown
            If the peer is unknown, its last dial failed within `REDIAL_DELAY_MS`, or
            its queue is full.
        PeerTooOld
            If the peer's build does not know the message.
        """
        link = self._link_by_peer.get(peer)
        if link is None:
            raise LinkDown(f"no address is known for node {peer!r}")
        kind = type(message)
        self.peer_builds.check_readable(peer, kind)
        frame = encode(message, self.revision)
        if link.socket is not None:
            self._send_frame(link, kind, frame)
            return
        if link.task is None:
            if self._clock.now() - link.last_failure_ms < REDIAL_DELAY_MS:
                raise LinkDown(f"node {peer!r} is unreachable")
            link.task = asyncio.create_task(self._dial(link))
        if len(link.queued_frames) >= MAX_QUEUED_FRAMES:
            raise LinkDown(f"the send queue of node {peer!r} is full")
        link.queued_frames.append((kind, frame))

    def _send_frame(self, link, kind, frame):
        if link.is_compressed:
            frame = compress_frame(frame, self.revision)
        link.socket.send(frame)
        self.peer_builds.record_sent(link.peer, kind)
        size = len(frame) + FRAME_HEADER_BYTES + TCP_IP_HEADER_BYTES
        self._on_traffic("out", kind.__name__, size)

    def _send_queued(self, link):
        while link.queued_frames:
            kind, frame = link.queued_frames.popleft()
            try:
                self.peer_builds.check_readable(link.peer, kind)
                self._send_frame(link, kind, frame)
            except PeerTooOld as error:
                log.debug("message dropped: %s", error)

    def reset_link(self, peer):
        """Close the connection to a peer; the next send dials a new one.

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
        """Close all links and stop accepting."""
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
        link.is_closing = True
        if link.task is not None:
            link.task.cancel()
        if link.socket is not None:
            link.socket.close()

    async def _dial(self, link):
        socket = None
        loop = asyncio.get_running_loop()
        make_socket = make_client_factory(
            link.host,
            link.port,
            MAX_FRAME_BYTES,
            lambda _: self._handle_disconnect(link),
        )
        try:
            async with asyncio.timeout(link.connect_timeout_ms / 1000):
                _, socket = await loop.create_connection(
                    make_socket, link.host, link.port
                )
            async with asyncio.timeout(OPEN_TIMEOUT_MS / 1000):
                await socket.open()
                hello = await dial(socket, self.identity, self._secret, link.peer)
            self.peer_builds.record_hello(hello)
            link.is_compressed = hello.accepts_compressed
            link.socket = socket
            link.failure_count = 0
            self._send_queued(link)
        except SOCKET_ERRORS as error:
            # `PeerBuilds` logs an incompatible peer once, and not at each dial.
            if not isinstance(error, IncompatiblePeer):
                log.warning(
                    "link to %s closed: %s", link.peer, error or "no answer in time"
                )
            link.failure_count += 1
            self._handle_disconnect(link)
        finally:
            link.task = None
            if socket is not None and link.socket is not socket:
                socket.close()

    def _handle_disconnect(self, link):
        if link.socket is not None and not link.is_closing:
            self.peer_builds.record_closed(link.peer)
        link.socket = None
        link.last_failure_ms = self._clock.now()
        link.queued_frames.clear()

    def _accept(self, socket):
        self._accepted.add(socket)
        task = asyncio.create_task(self._handle_handshake(socket))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_handshake(self, socket):
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_MS / 1000):
                await socket.open()
                hello = await accept(socket, self.identity, self._secret)
            self.peer_builds.record_hello(hello)
            socket.is_known = True
            socket.set_frame_handler(
                lambda frame: self._handle_frame(hello.node, socket, frame)
            )
        except IncompatiblePeer:
            socket.close()
        except SOCKET_ERRORS as error:
            log.warning("incoming link refused: %s", error)
            socket.close()

    def _handle_frame(self, peer, socket, frame):
        size = len(frame) + FRAME_HEADER_BYTES + TCP_IP_HEADER_BYTES
        try:
            message, revision = decode_frame(frame)
        except UnknownMessage as error:
            self._on_traffic("in", UNKNOWN_KIND, size)
            self.peer_builds.record_unknown_message(peer, error.code)
            return
        self._on_traffic("in", type(message).__name__, size)
        if self.on_message is not None:
            self.on_message(peer, message, revision)
