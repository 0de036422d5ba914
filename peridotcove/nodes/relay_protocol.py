"""What nodes send on a connection that another node relays to an engine.

The connection goes to the port for links. It begins with `RELAY_PREFIX` and the token
of an `OpenRelay` message, sent on the authenticated link. The relaying node answers
with one byte; after `RELAY_OPEN`, all bytes are those of the engine and its client.
"""

import asyncio
import socket
import struct

from peridotcove.clock import MS_PER_S

RELAY_PREFIX = b"RELAY "
TOKEN_BYTES = 16
PREAMBLE_BYTES = len(RELAY_PREFIX) + TOKEN_BYTES
RELAY_OPEN = b"+"
# The relaying node reaches other engines and could not connect to this one, or doesn't
# use it any more.
RELAY_UNREACHED = b"-"
# The relaying node may be cut off itself, shuts down or is full.
RELAY_REFUSED = b"!"
# Dead connections between nodes are noticed within 20 s.
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MS = 20_000


def set_keepalive(sock):
    """Let a socket notice that its peer is gone without a word.

    Parameters
    ----------
    sock : socket.socket
        Socket of a connection between nodes.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def reset(transport):
    """Close a connection with a reset, so that its end is not taken for an orderly one.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        no_linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    transport.abort()


class UnknownPeers:
    """Connections whose other end has not said who it is; anyone can open these.

    If there are too many, the oldest is closed.

    Parameters
    ----------
    limit : int
        Largest number of them.
    """

    def __init__(self, limit):
        self._limit = limit
        # A dict, because it keeps the order in which they came.
        self._transports = {}

    def add(self, transport):
        """Add a new connection.

        Parameters
        ----------
        transport : asyncio.Transport
            Transport of the connection; its protocol has `is_known`.
        """
        if len(self._transports) >= self._limit:
            self._transports = {
                one: None
                for one in self._transports
                if not one.is_closing() and not one.get_protocol().is_known
            }
        if len(self._transports) >= self._limit:
            oldest = next(iter(self._transports))
            del self._transports[oldest]
            oldest.abort()
        self._transports[transport] = None


class NodePort(asyncio.Protocol):
    """Passes a new connection on by its first byte: a link, or one to be relayed.

    Parameters
    ----------
    make_link : callable
        Returns the protocol of a link.
    make_relay : callable or None
        Returns the protocol of a connection to be relayed; None if none is.
    timeout_ms : int
        Time in ms in which the first byte must come.
    unknown_peers : UnknownPeers
        Bounds the connections that are not known yet.
    """

    is_known = False

    def __init__(self, make_link, make_relay, timeout_ms, unknown_peers):
        self._unknown_peers = unknown_peers
        self._make_link = make_link
        self._make_relay = make_relay
        self._timeout_ms = timeout_ms
        self._transport = None
        self._timer = None

    def connection_made(self, transport):
        """Handle a new connection.

        Parameters
        ----------
        transport : asyncio.Transport
            Transport of the connection.
        """
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._timeout_ms / MS_PER_S, transport.abort)
        self._unknown_peers.add(transport)

    def connection_lost(self, exc):
        """Handle the end of the connection before its first byte.

        Parameters
        ----------
        exc : Exception or None
            Error that ended it.
        """
        self._timer.cancel()

    def data_received(self, data):
        """Replace this protocol by the one that the first byte asks for.

        Parameters
        ----------
        data : bytes
            The first bytes.
        """
        self._timer.cancel()
        is_relay = self._make_relay is not None and data[:1] == RELAY_PREFIX[:1]
        protocol = (self._make_relay if is_relay else self._make_link)()
        self._transport.set_protocol(protocol)
        protocol.connection_made(self._transport)
        protocol.data_received(data)
