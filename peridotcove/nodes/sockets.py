"""Websockets of binary frames on asyncio transports, without tasks or send queues.

The protocol state machine is that of the `websockets` library; a send is one system
call.
"""

import asyncio
import collections

from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from peridotcove.exceptions import LinkDown, ProtocolError

MAX_BUFFERED_BYTES = 1 << 20
MAX_UNREAD_FRAMES = 16
CONTROL_OPCODES = (Opcode.CLOSE, Opcode.PING, Opcode.PONG)


class FrameSocket(asyncio.Protocol):
    """One end of a websocket connection that carries binary frames.

    Parameters
    ----------
    protocol : ClientProtocol or ServerProtocol
        Protocol state of the websocket.
    on_close : callable or None
        Called once with the socket when it has closed.

    Attributes
    ----------
    on_frame : callable or None
        Called with each frame; until it is set, frames are buffered for `read`.
    is_known : bool
        Whether the peer has proven who it is.
    """

    def __init__(self, protocol, on_close=None):
        self.is_known = False
        self.on_frame = None
        self.closed = False
        self._protocol = protocol
        self._on_close = on_close
        self._transport = None
        self._unread = collections.deque()
        self._read_waiter = None
        self._opened = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        """Start the opening handshake on a dialed connection.

        Parameters
        ----------
        transport : asyncio.Transport
            Transport of the connection.
        """
        self._transport = transport
        if isinstance(self._protocol, ClientProtocol):
            self._protocol.send_request(self._protocol.connect())
            self._flush()

    def data_received(self, data):
        """Handle bytes from the peer.

        Parameters
        ----------
        data : bytes
            Received bytes.
        """
        self._protocol.receive_data(data)
        try:
            for event in self._protocol.events_received():
                self._handle_event(event)
        except ProtocolError as error:
            self.abort(error)
        self._flush()

    def eof_received(self):
        """Handle the end of the peer's byte stream."""
        self._protocol.receive_eof()
        self._flush()

    def connection_lost(self, exc):
        """Handle the end of the connection.

        Parameters
        ----------
        exc : Exception or None
            Error that ended the connection.
        """
        if self.closed:
            return
        self.closed = True
        error = LinkDown("the connection is closed")
        for future in (self._opened, self._read_waiter):
            if future is not None and not future.done():
                future.set_exception(error)
        if self._opened.done() and not self._opened.cancelled():
            # Marks the exception as retrieved: nothing may await the future any more.
            self._opened.exception()
        if self._on_close is not None:
            self._on_close(self)

    async def open(self):
        """Wait until the websocket is open.

        Raises
        ------
        LinkDown
            If the connection ends before.
        ProtocolError
            If the peer violates the protocol.
        """
        await self._opened

    def send(self, frame):
        """Send a frame.

        Parameters
        ----------
        frame : bytes
            Frame to send.

        Raises
        ------
        LinkDown
            If the socket is closed or its write buffer is full; nothing was sent.
        """
        if self.closed or self._protocol.state is not State.OPEN:
            raise LinkDown("the connection is closed")
        if self._transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            raise LinkDown("the write buffer of the connection is full")
        self._protocol.send_binary(frame)
        self._transport.write(b"".join(self._protocol.data_to_send()))

    async def read(self):
        """Return the next frame; used until `on_frame` is set."""
        if not self._unread:
            if self.closed:
                raise LinkDown("the connection is closed")
            self._read_waiter = asyncio.get_running_loop().create_future()
            await self._read_waiter
        return self._unread.popleft()

    def set_frame_handler(self, on_frame):
        """Set the callable that handles all further frames, and unread ones at once.

        Parameters
        ----------
        on_frame : callable
            Called with each frame.
        """
        self.on_frame = on_frame
        try:
            while self._unread:
                on_frame(self._unread.popleft())
        except ProtocolError as error:
            self.abort(error)

    def close(self):
        """Close the socket."""
        if not self.closed and self._protocol.state is State.OPEN:
            self._protocol.send_close()
            self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self, error):
        """Close the socket because of a protocol error of the peer.

        Parameters
        ----------
        error : ProtocolError
            Error that `open` and `read` raise.
        """
        if not self._opened.done():
            self._opened.set_exception(error)
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_exception(error)
        self.close()

    def _handle_event(self, event):
        if isinstance(event, Request):
            self._protocol.send_response(self._protocol.accept(event))
            self._finish_handshake()
        elif isinstance(event, Response):
            self._finish_handshake()
        elif isinstance(event, Frame) and event.opcode not in CONTROL_OPCODES:
            if event.opcode is not Opcode.BINARY or not event.fin:
                raise ProtocolError("a frame is not a complete binary message")
            self._deliver(bytes(event.data))

    def _finish_handshake(self):
        if self._protocol.handshake_exc is not None:
            text = f"websocket handshake failed: {self._protocol.handshake_exc}"
            raise ProtocolError(text)
        if not self._opened.done():
            self._opened.set_result(None)

    def _deliver(self, frame):
        if self.on_frame is not None:
            self.on_frame(frame)
            return
        if len(self._unread) >= MAX_UNREAD_FRAMES:
            raise ProtocolError("too many frames before the end of the handshake")
        self._unread.append(frame)
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    def _flush(self):
        for data in self._protocol.data_to_send():
            if data:
                self._transport.write(data)
            elif self._transport.can_write_eof():
                self._transport.write_eof()
        if self._protocol.state is State.CLOSED or self._protocol.close_expected():
            self._transport.close()


def make_client_factory(host, port, max_bytes, on_close):
    """Return a factory of sockets for dialed connections.

    Parameters
    ----------
    host : str
        IP address of the peer.
    port : int
        Port of the peer.
    max_bytes : int
        Maximum size of a received frame in bytes.
    on_close : callable
        Called once with the socket when it has closed.
    """
    uri = parse_uri(f"ws://{host}:{port}")
    return lambda: FrameSocket(ClientProtocol(uri, max_size=max_bytes), on_close)


def make_server_factory(max_bytes, on_open, on_close):
    """Return a factory of sockets for accepted connections.

    Parameters
    ----------
    max_bytes : int
        Maximum size of a received frame in bytes.
    on_open : callable
        Called with each new socket.
    on_close : callable
        Called once with the socket when it has closed.
    """

    def make_socket():
        socket = FrameSocket(ServerProtocol(max_size=max_bytes), on_close)
        on_open(socket)
        return socket

    return make_socket


SOCKET_ERRORS = (OSError, TimeoutError, WebSocketException, ProtocolError, LinkDown)
