"""A websocket of binary frames on asyncio's transports, without tasks or queues.

The protocol is that of the `websockets` library; a send is one system call.
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

MAX_WAITING_BYTES = 1 << 20
MAX_UNREAD_FRAMES = 16
CONTROL = (Opcode.CLOSE, Opcode.PING, Opcode.PONG)


class FrameSocket(asyncio.Protocol):
    """One end of a connection that carries binary frames.

    Parameters
    ----------
    protocol : ClientProtocol or ServerProtocol
        State of the websocket.
    on_close : callable or None
        Called once with the socket when it has closed.

    Attributes
    ----------
    on_frame : callable or None
        Takes each frame; until it is set, frames wait for `read`.
    """

    def __init__(self, protocol, on_close=None):
        self.on_frame = None
        self.closed = False
        self._protocol = protocol
        self._on_close = on_close
        self._transport = None
        self._unread = collections.deque()
        self._reading = None
        self._opened = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        """Begin the opening handshake.

        Parameters
        ----------
        transport : asyncio.Transport
            The connection.
        """
        self._transport = transport
        if isinstance(self._protocol, ClientProtocol):
            self._protocol.send_request(self._protocol.connect())
            self._flush()

    def data_received(self, data):
        """Take bytes of the peer.

        Parameters
        ----------
        data : bytes
            Bytes of the connection.
        """
        self._protocol.receive_data(data)
        try:
            for event in self._protocol.events_received():
                self._take(event)
        except ProtocolError as error:
            self.abort(error)
        self._flush()

    def eof_received(self):
        """Take the end of the peer's bytes."""
        self._protocol.receive_eof()
        self._flush()

    def connection_lost(self, exc):
        """Note the end of the connection.

        Parameters
        ----------
        exc : Exception or None
            What broke it.
        """
        if self.closed:
            return
        self.closed = True
        error = LinkDown("the connection is closed")
        for future in (self._opened, self._reading):
            if future is not None and not future.done():
                future.set_exception(error)
        self._opened.exception() if self._opened.done() else None
        if self._on_close is not None:
            self._on_close(self)

    async def open(self):
        """Wait until the websocket is open.

        Raises
        ------
        LinkDown
            If the connection ends first.
        ProtocolError
            If the peer speaks something else.
        """
        await self._opened

    def send(self, frame):
        """Send a frame.

        Parameters
        ----------
        frame : bytes
            The frame.

        Raises
        ------
        LinkDown
            If the socket is closed or too much waits for the peer; nothing was sent.
        """
        if self.closed or self._protocol.state is not State.OPEN:
            raise LinkDown("the connection is closed")
        if self._transport.get_write_buffer_size() > MAX_WAITING_BYTES:
            raise LinkDown("too much waits for the peer")
        self._protocol.send_binary(frame)
        self._transport.write(b"".join(self._protocol.data_to_send()))

    async def read(self):
        """Return the next frame, while `on_frame` is not set."""
        if not self._unread:
            if self.closed:
                raise LinkDown("the connection is closed")
            self._reading = asyncio.get_running_loop().create_future()
            await self._reading
        return self._unread.popleft()

    def hand_over(self, on_frame):
        """Pass all further frames, and those not read, to a callable.

        Parameters
        ----------
        on_frame : callable
            Takes each frame.
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
        """Close the socket for a fault of the peer.

        Parameters
        ----------
        error : ProtocolError
            The fault.
        """
        if not self._opened.done():
            self._opened.set_exception(error)
        if self._reading is not None and not self._reading.done():
            self._reading.set_exception(error)
        self.close()

    def _take(self, event):
        if isinstance(event, Request):
            self._protocol.send_response(self._protocol.accept(event))
            self._finish_opening()
        elif isinstance(event, Response):
            self._finish_opening()
        elif isinstance(event, Frame) and event.opcode not in CONTROL:
            if event.opcode is not Opcode.BINARY or not event.fin:
                raise ProtocolError("a frame is not one whole binary message")
            self._deliver(bytes(event.data))

    def _finish_opening(self):
        if self._protocol.handshake_exc is not None:
            text = f"no websocket: {self._protocol.handshake_exc}"
            raise ProtocolError(text)
        if not self._opened.done():
            self._opened.set_result(None)

    def _deliver(self, frame):
        if self.on_frame is not None:
            self.on_frame(frame)
            return
        if len(self._unread) >= MAX_UNREAD_FRAMES:
            raise ProtocolError("too many frames before the greeting")
        self._unread.append(frame)
        if self._reading is not None and not self._reading.done():
            self._reading.set_result(None)

    def _flush(self):
        for data in self._protocol.data_to_send():
            if data:
                self._transport.write(data)
            elif self._transport.can_write_eof():
                self._transport.write_eof()
        if self._protocol.state is State.CLOSED or self._protocol.close_expected():
            self._transport.close()


def make_client(host, port, max_bytes, on_close):
    """Return a factory of dialing sockets.

    Parameters
    ----------
    host : str
        IP number of the peer.
    port : int
        Its port.
    max_bytes : int
        Largest frame that is taken.
    on_close : callable
        Called once with the socket when it has closed.
    """
    uri = parse_uri(f"ws://{host}:{port}")
    return lambda: FrameSocket(ClientProtocol(uri, max_size=max_bytes), on_close)


def make_server(max_bytes, on_open, on_close):
    """Return a factory of accepting sockets.

    Parameters
    ----------
    max_bytes : int
        Largest frame that is taken.
    on_open : callable
        Called with each new socket.
    on_close : callable
        Called once with the socket when it has closed.
    """

    def make():
        socket = FrameSocket(ServerProtocol(max_size=max_bytes), on_close)
        on_open(socket)
        return socket

    return make


SOCKET_ERRORS = (OSError, TimeoutError, WebSocketException, ProtocolError, LinkDown)
