"""Connects to engines through other nodes while this node can't reach them."""

import asyncio
import os
import socket

from attrs import define, field

from peridotcove.background import restarting
from peridotcove.clock import MS_PER_S
from peridotcove.exceptions import EndpointFailed, LinkDown
from peridotcove.logs import get_logger
from peridotcove.nodes.relay_messages import OpenRelay
from peridotcove.nodes.relay_protocol import (
    RELAY_OPEN,
    RELAY_PREFIX,
    RELAY_UNREACHED,
    TOKEN_BYTES,
    set_keepalive,
)
from peridotcove.verdict import Verdict

# A relay connects to the engine meanwhile, and a link to it may have to be opened.
ANSWER_TIMEOUT_MS = 250
# Peers that are asked for one connection.
MAX_PEERS = 2
# Period of attempts to connect to an engine while this node is cut off.
PROBE_INTERVAL_MS = 500
PROBE_TIMEOUT_MS = 120
# Time for which the end of a connection waits for its confirmation by the relay.
END_TIMEOUT_MS = 200

log = get_logger("relays")


@define(eq=False)
class RelayedConnection:
    """An open connection to an engine that leads through a peer.

    Attributes
    ----------
    sock : socket.socket
        Socket of the connection to the peer.
    peer : str
        Name of the peer.
    token : bytes
        Token of the connection.
    zone : str
        Availability zone of the peer.
    """

    sock: socket.socket
    peer: str
    token: bytes
    zone: str = ""
    _ended: asyncio.Event = field(factory=asyncio.Event)

    def confirm_end(self):
        """Record that the engine has closed the connection in order."""
        self._ended.set()

    async def wait_for_end(self):
        """Return whether the engine is known to have closed the connection in order."""
        try:
            async with asyncio.timeout(END_TIMEOUT_MS / MS_PER_S):
                await self._ended.wait()
        except TimeoutError:
            return False
        return True


class RelayClient:
    """Decides how to connect to engines, and opens connections through peers.

    Parameters
    ----------
    paths : EnginePaths
        What is known of the connections to the engines.
    network : Network
        Links to the other nodes.
    find_peers : callable
        Returns the other live nodes.
    find_addresses : callable
        Returns the addresses of engines in service.
    timeline : Timeline
        Event log of this node.
    """

    def __init__(self, paths, network, find_peers, find_addresses, timeline):
        self._paths = paths
        self._network = network
        self._find_peers = find_peers
        self._find_addresses = find_addresses
        self._timeline = timeline
        self._connection_by_token = {}
        self._probing = None

    def needs_relay(self, address):
        """Return whether to connect to an engine through a peer.

        Parameters
        ----------
        address : str
            Address of the engine, ``HOST:PORT``.
        """
        return self._paths.needs_relay(address) and bool(self._find_peers())

    @property
    def has_connected_lately(self):
        """Whether this node has connected to some engine by itself a moment ago."""
        return self._paths.has_connected_lately

    def record_connected(self, address):
        """Record that this node has connected to an engine by itself.

        Parameters
        ----------
        address : str
            Address of the engine.
        """
        used_relays = self._paths.uses_relays
        self._paths.record_connected(address)
        if used_relays and not self._paths.uses_relays:
            self._timeline.record("engines-reached", {"address": address})

    def record_unreached(self, address):
        """Record that this node could not connect to an engine.

        Parameters
        ----------
        address : str
            Address of the engine.
        """
        self._record_use(address, self._paths.record_unreached)

    def _record_use(self, address, record):
        used_relays = self._paths.uses_relays
        record(address)
        if not self._paths.uses_relays:
            return
        if not used_relays:
            inputs = {"address": address, "cut_off": self._paths.is_cut_off}
            self._timeline.record("engines-unreached", inputs)
        if self._probing is None or self._probing.done():
            self._probing = asyncio.create_task(self._probe())

    @restarting
    async def _probe(self):
        """Connect to engines until one is reached; nothing is sent to them."""
        while self._paths.uses_relays:
            await asyncio.sleep(PROBE_INTERVAL_MS / MS_PER_S)
            address = self._paths.choose_probe(self._find_addresses())
            if address is not None and await self._reaches(address):
                self.record_connected(address)

    async def _reaches(self, address):
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_MS / MS_PER_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            log.debug("engine at %s is still not reached: %r", address, error)
            return False
        writer.close()
        return True

    async def connect(self, address, may_relay=lambda instance: True):
        """Open a connection to an engine through a peer.

        Parameters
        ----------
        address : str
            Address of the engine, ``HOST:PORT``.
        may_relay : callable
            Called with the `Instance` of a peer; whether it may be used.

        Returns
        -------
        RelayedConnection

        Raises
        ------
        EndpointFailed
            If no peer has opened one; nothing was sent to the engine.
        """
        peers = list(filter(may_relay, self._find_peers()))
        for peer in self._paths.rank_relays(peers)[:MAX_PEERS]:
            try:
                answer, connection = await self._open(peer, address)
            except (OSError, LinkDown) as error:
                reason = str(error) or "no answer in time"
                log.info("no relay through %s: %s", peer.name, reason)
                self._paths.record_relay_failure(peer.name)
                continue
            if connection is not None:
                self._record_use(address, self._paths.record_relayed)
                return connection
            self._paths.record_relay_failure(peer.name)
            if answer == RELAY_UNREACHED:
                self._paths.record_unreached_by_peer(address)
                text = f"{peer.name} could not connect to {address} either"
                raise EndpointFailed("unreachable-by-peer", text, Verdict.NOT_RUN)
        text = f"no node could relay a connection to {address}"
        raise EndpointFailed("no-relay", text, Verdict.NOT_RUN)

    async def _open(self, peer, address):
        """Return the peer's answer, and the connection if it is open."""
        token = os.urandom(TOKEN_BYTES)
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        connection = RelayedConnection(sock, peer.name, token, peer.zone)
        self._connection_by_token[token] = connection
        answer = b""
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            set_keepalive(sock)
            self._network.send(peer.name, OpenRelay(token, address))
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / MS_PER_S):
                await loop.sock_connect(sock, (peer.host, peer.port))
                await loop.sock_sendall(sock, RELAY_PREFIX + token)
                answer = await loop.sock_recv(sock, 1)
        finally:
            if answer != RELAY_OPEN:
                self.release(connection)
        return answer, connection if answer == RELAY_OPEN else None

    def release(self, connection):
        """Close this node's hold on a connection that is not used any more.

        Parameters
        ----------
        connection : RelayedConnection
            The connection.
        """
        connection.sock.close()
        self._connection_by_token.pop(connection.token, None)

    def receive(self, peer, message):
        """Handle a `RelayEnded` message.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : RelayEnded
            The message.
        """
        connection = self._connection_by_token.get(message.token)
        if connection is not None and connection.peer == peer:
            connection.confirm_end()

    def close(self):
        """Stop probing."""
        if self._probing is not None:
            self._probing.cancel()
