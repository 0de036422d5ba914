"""Relays connections of peers that are cut off from the engines."""

import asyncio

from attrs import define

from peridotcove.clock import MS_PER_S
from peridotcove.connection_memory.memory import Holder
from peridotcove.exceptions import LinkDown, RequestError
from peridotcove.logs import get_logger
from peridotcove.nodes.relay_messages import RelayEnded
from peridotcove.nodes.relay_protocol import (
    PREAMBLE_BYTES,
    RELAY_OPEN,
    RELAY_PREFIX,
    RELAY_REFUSED,
    RELAY_UNREACHED,
    TOKEN_BYTES,
    reset,
    set_keepalive,
)

CONNECT_TIMEOUT_MS = 120
# Time in which a connection follows its request, or a request its connection.
PICK_UP_TIMEOUT_MS = 1_000
# Connections whose request has not come; anyone can open these.
MAX_UNCLAIMED = 64
BUFFER_BYTES = 32_768

log = get_logger("relays")


@define(eq=False)
class _Relay:
    """A connection to an engine, and the one of the peer that uses it."""

    token: bytes
    address: str = ""
    peer: str = ""
    peer_side: object = None
    engine_side: object = None
    # The answer to the peer, once it is known.
    answer: bytes = b""
    holder: Holder | None = None
    expires: object = None
    is_open: bool = False


class _RelayHolder(Holder):
    """What a relay holds since one of its sides reads slowly."""

    is_spared = False
    # The entry knows the caller, and judges whether it is too slow.
    may_rest = True

    def __init__(self, server, relay):
        self._server = server
        self._relay = relay
        self.moved_bytes = 0

    def measure(self):
        """Return the bytes that are not sent yet."""
        sides = (self._relay.peer_side, self._relay.engine_side)
        return sum(one.transport.get_write_buffer_size() for one in sides if one)

    def count_moved(self):
        """Return the bytes that came, which come only as fast as others are sent."""
        return self.moved_bytes

    def give_up(self, reason):
        """End the relay with a reset, so that nobody takes it for an orderly end."""
        log.warning(
            "relay of %s to %s given up (%s)",
            self._relay.peer,
            self._relay.address,
            reason,
        )
        self._server.give_up(self._relay)


class _Pipe(asyncio.Protocol):
    """One side of a relay; the bytes that it receives go to the other side."""

    def __init__(self, server, relay):
        self.transport = None
        self.server = server
        self.relay = relay
        self.other = None
        self.has_ended = False

    def connection_made(self, transport):
        """Handle a new connection."""
        self.transport = transport
        transport.set_write_buffer_limits(BUFFER_BYTES)

    def data_received(self, data):
        """Pass bytes on."""
        if self.other is not None:
            self.other.transport.write(data)

    def pause_writing(self):
        """Stop reading from the other side while this one is slow."""
        if self.other is not None:
            self.other.transport.pause_reading()
            self.server.count_held(self.relay)

    def resume_writing(self):
        """Go on reading from the other side."""
        if self.other is not None:
            self.other.transport.resume_reading()
            self.relay.holder.moved_bytes += BUFFER_BYTES

    def connection_lost(self, exc):
        """End the other side in the same way."""
        self.server.handle_lost(self.relay, self, exc)


class _EngineSide(_Pipe):
    def eof_received(self):
        """Pass the end of the engine's bytes on; the peer closes the connection."""
        self.has_ended = True
        self.server.handle_engine_end(self.relay)
        return True


class _PeerSide(_Pipe):
    def __init__(self, server):
        super().__init__(server, None)
        self._preamble = b""
        self._expires = None

    @property
    def is_known(self):
        """Whether a request of a known peer is for this connection."""
        return self.relay is not None

    def connection_made(self, transport):
        """Handle a new connection, which must soon belong to a relay."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        timeout_s = PICK_UP_TIMEOUT_MS / MS_PER_S
        self._expires = loop.call_later(timeout_s, self._expire)

    def _expire(self):
        if self.relay is None:
            log.info("a connection that is to be relayed had no request; closing it")
            self.transport.abort()

    def connection_lost(self, exc):
        """End the other side in the same way."""
        self._expires.cancel()
        if self.relay is None:
            self.server.drop_unclaimed(self)
        super().connection_lost(exc)

    def data_received(self, data):
        """Read the preamble, and then pass bytes on."""
        if self.other is not None:
            self.other.transport.write(data)
            return
        self._preamble += data
        begin = self._preamble[: len(RELAY_PREFIX)]
        if len(self._preamble) > PREAMBLE_BYTES or not RELAY_PREFIX.startswith(begin):
            log.warning("a connection that is to be relayed began with other bytes")
            self.transport.abort()
        elif len(self._preamble) == PREAMBLE_BYTES:
            self.server.handle_connection(self, self._preamble[len(RELAY_PREFIX) :])

    def eof_received(self):
        """Close the connection to the engine: its client has gone."""
        return False


class RelayServer:
    """Connects peers to engines that they can't reach by themselves.

    Only engines and endpoints of the configuration can be reached, by peers whose link
    is authenticated.

    Parameters
    ----------
    network : Network
        Links to the other nodes.
    check_address : callable
        Raises a `RequestRefused` if the engine at an address is unknown or may not get
        new requests.
    may_relay : callable
        Called with the address of an engine; whether this node takes new work and
        connects to that engine by itself.
    relay_client : RelayClient
        Is told whether this node reaches engines by itself.
    request_counter : RequestCounter
        Counts relays as requests in progress.
    max_relays : int
        Largest number of relays; each has two connections and two buffers.
    memory : ConnectionMemory
        Counts what relays hold.
    """

    def __init__(
        self,
        network,
        check_address,
        may_relay,
        relay_client,
        request_counter,
        max_relays,
        memory,
    ):
        self._max_relays = max_relays
        self._memory = memory
        self._relay_client = relay_client
        self._network = network
        self._check_address = check_address
        self._may_relay = may_relay
        self._request_counter = request_counter
        self._relay_by_token = {}
        self._unclaimed_by_token = {}
        self._tasks = set()

    def __len__(self):
        return len(self._relay_by_token)

    def make_protocol(self):
        """Return the protocol of a peer's connection that is to be relayed."""
        return _PeerSide(self)

    def receive(self, peer, message):
        """Handle an `OpenRelay` message.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : OpenRelay
            The message.
        """
        token = message.token
        if len(token) != TOKEN_BYTES or token in self._relay_by_token:
            log.warning("a relay for %s was ignored: its token is invalid", peer)
            return
        relay = _Relay(token, message.address, peer)
        relay.holder = _RelayHolder(self, relay)
        self._relay_by_token[token] = relay
        self._request_counter.begin()
        loop = asyncio.get_running_loop()
        timeout_s = PICK_UP_TIMEOUT_MS / MS_PER_S
        relay.expires = loop.call_later(timeout_s, self._expire, relay)
        side = self._unclaimed_by_token.pop(token, None)
        if side is not None:
            self._attach(relay, side)
        task = asyncio.create_task(self._connect(relay))
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a relay failed: %r", task.exception())

    def handle_connection(self, side, token):
        """Handle a peer's connection, whose preamble has come.

        Parameters
        ----------
        side : object
            Protocol of the connection.
        token : bytes
            Token in its preamble.
        """
        relay = self._relay_by_token.get(token)
        is_full = len(self._unclaimed_by_token) >= MAX_UNCLAIMED
        if relay is not None and relay.peer_side is None:
            self._attach(relay, side)
        elif relay is None and token not in self._unclaimed_by_token and not is_full:
            self._unclaimed_by_token[token] = side
        else:
            log.warning("a connection that is to be relayed was closed")
            side.transport.abort()

    def drop_unclaimed(self, side):
        """Forget a connection that ended before its request came.

        Parameters
        ----------
        side : object
            Protocol of the connection.
        """
        self._unclaimed_by_token = {
            token: one
            for token, one in self._unclaimed_by_token.items()
            if one is not side
        }

    def _attach(self, relay, side):
        side.relay, relay.peer_side = relay, side
        set_keepalive(side.transport.get_extra_info("socket"))
        self._answer(relay)

    def _expire(self, relay):
        if not relay.is_open:
            log.info("the relay for %s was not picked up", relay.peer)
            self._end(relay)

    async def _connect(self, relay):
        try:
            is_full = len(self._relay_by_token) > self._max_relays
            if is_full or not self._may_relay(relay.address):
                relay.answer = RELAY_REFUSED
                return
            self._check_address(relay.address)
            await self._connect_to_engine(relay)
            relay.answer = RELAY_OPEN
        except RequestError as error:
            relay.answer = RELAY_UNREACHED
            self._log_failure(relay, error)
        except OSError as error:
            relay.answer = self._judge_failure(relay)
            self._log_failure(relay, str(error) or "no connection in time")
        finally:
            self._answer(relay)

    def _judge_failure(self, relay):
        """Return the answer to the peer if this node could not connect either."""
        if self._relay_client.has_connected_lately:
            return RELAY_UNREACHED
        # It may be this node that is cut off.
        self._relay_client.record_unreached(relay.address)
        return RELAY_REFUSED

    def _log_failure(self, relay, reason):
        log.info(
            "relay for %s to %s could not be opened: %s",
            relay.peer,
            relay.address,
            reason,
        )

    async def _connect_to_engine(self, relay):
        host, _, port = relay.address.rpartition(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
            _, relay.engine_side = await loop.create_connection(
                lambda: _EngineSide(self, relay), host, int(port)
            )
        self._relay_client.record_connected(relay.address)
        set_keepalive(relay.engine_side.transport.get_extra_info("socket"))

    def _answer(self, relay):
        """Answer the peer, once both its connection and the answer are there."""
        if relay.peer_side is None or not relay.answer:
            return
        peer, engine = relay.peer_side, relay.engine_side
        answer = relay.answer
        if engine is not None and (engine.has_ended or engine.transport.is_closing()):
            answer = RELAY_UNREACHED
        peer.transport.write(answer)
        if answer != RELAY_OPEN:
            peer.transport.close()
            return
        relay.is_open = True
        relay.expires.cancel()
        peer.other, engine.other = engine, peer

    def handle_engine_end(self, relay):
        """Tell the peer that the engine has closed its connection in order.

        Parameters
        ----------
        relay : object
            The relay.
        """
        try:
            self._network.send(relay.peer, RelayEnded(relay.token))
        except LinkDown as error:
            log.info("the end of a relay was not sent to %s: %s", relay.peer, error)
        peer = relay.peer_side
        if relay.is_open and not peer.transport.is_closing():
            peer.transport.write_eof()

    def handle_lost(self, relay, side, error):
        """Handle the end of one of a relay's connections.

        Parameters
        ----------
        relay : object or None
            The relay; None before a connection belongs to one.
        side : object
            Protocol of the connection.
        error : Exception or None
            Error that ended it. The connection of an engine that ends in order is lost
            only after that of its peer.
        """
        if relay is None:
            return
        other = side.other
        if other is not None and not other.transport.is_closing():
            if error is not None or side is relay.engine_side:
                reset(other.transport)
            else:
                other.transport.abort()
        self._end(relay)

    def count_held(self, relay):
        """Count what a relay holds, since one of its sides reads slowly.

        Parameters
        ----------
        relay : object
            The relay.
        """
        self._memory.update(relay.holder)

    def give_up(self, relay):
        """End a relay whose bytes wait too long or take too much memory.

        Parameters
        ----------
        relay : object
            The relay.
        """
        if relay.peer_side is not None:
            reset(relay.peer_side.transport)
        self._end(relay)

    def _end(self, relay):
        if self._relay_by_token.pop(relay.token, None) is None:
            return
        self._memory.forget(relay.holder)
        relay.expires.cancel()
        self._request_counter.end()
        for side in (relay.peer_side, relay.engine_side):
            if side is not None and not side.transport.is_closing():
                side.transport.abort()

    def close(self):
        """End all relays."""
        for relay in list(self._relay_by_token.values()):
            if relay.peer_side is not None:
                reset(relay.peer_side.transport)
            self._end(relay)
        for task in list(self._tasks):
            task.cancel()
