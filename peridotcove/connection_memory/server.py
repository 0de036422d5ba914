"""HTTP server whose connections are bounded in number and in memory."""

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.ioloop import IOLoop
from tornado.netutil import ssl_wrap_socket

from peridotcove.clock import MS_PER_S
from peridotcove.connection_memory.memory import TOO_MANY
from peridotcove.connection_memory.streams import (
    ClientConnection,
    ClientStream,
    ClientTlsStream,
)
from peridotcove.connection_memory.turns import Turns
from peridotcove.logs import get_logger

# Connections that are accepted in one turn of the loop; what they send at once is read
# in the next.
MAX_ACCEPTED = 16
# Wait after the system had no descriptor left.
RETRY_MS = 100
# At most one line of the log in this time names a client that was given up.
LOG_INTERVAL_MS = 5_000

log = get_logger("callers")


class ConnectionGroup:
    """The connections to one port, those first that have been idle for longest.

    Parameters
    ----------
    limit : int
        Largest number of connections.
    memory : ConnectionMemory
        Counts what they hold.
    clock : Clock
        Source of time.
    on_given_up : callable
        Called with the reason for which a connection was given up.
    """

    def __init__(self, limit, memory, clock, on_given_up):
        self.memory = memory
        self.turns = Turns()
        self._limit = limit
        self._clock = clock
        self._on_given_up = on_given_up
        self._connections = set()
        self._idle_connections = {}
        self._logged_ms = -LOG_INTERVAL_MS
        self._unlogged = 0
        self._waiting = []

    def __len__(self):
        return len(self._connections)

    def add(self, connection):
        """Add a connection.

        Parameters
        ----------
        connection : ClientConnection
            The connection.
        """
        self._connections.add(connection)

    def remove(self, connection):
        """Remove a connection that has ended; an unknown one is ignored.

        Parameters
        ----------
        connection : ClientConnection
            The connection.
        """
        self._connections.discard(connection)
        self._idle_connections.pop(connection, None)
        waiting, self._waiting = self._waiting, []
        for on_room in waiting:
            on_room()

    def call_when_room(self, on_room):
        """Call once when a connection has ended.

        Parameters
        ----------
        on_room : callable
            Called without arguments.
        """
        self._waiting.append(on_room)

    def set_idle(self, connection, is_idle):
        """Set whether a connection waits for a request.

        Parameters
        ----------
        connection : ClientConnection
            The connection.
        is_idle : bool
            Whether it does.
        """
        if is_idle:
            self._idle_connections[connection] = None
        else:
            self._idle_connections.pop(connection, None)

    @property
    def has_room(self):
        """Whether one more connection fits."""
        return len(self._connections) < self._limit

    def make_room(self):
        """Return whether one more connection fits; close an idle one for it."""
        if self.has_room:
            return True
        connection = next(iter(self._idle_connections), None)
        if connection is not None:
            connection.give_up(TOO_MANY)
            self.remove(connection)
            return True
        # The connection ends only after its refusal was written.
        self.memory.give_up_slowest()
        return self.has_room

    def record_given_up(self, connection, reason):
        """Count a connection that is given up, and log some of them.

        Parameters
        ----------
        connection : ClientConnection
            The connection.
        reason : str
            Why it is given up.
        """
        self._on_given_up(reason)
        now = self._clock.now()
        self._unlogged += 1
        if now - self._logged_ms < LOG_INTERVAL_MS:
            return
        log.warning(
            "connection of %s given up (%s); it held %d bytes and made no progress for "
            "%d ms; %d given up since the last such line; %d connections; all held "
            "%d of %d bytes",
            connection.address,
            reason,
            connection.measure(),
            now - connection.progress_ms if connection.progress_ms else 0,
            self._unlogged,
            len(self._connections),
            self.memory.total_bytes,
            self.memory.limit_bytes,
        )
        self._logged_ms = now
        self._unlogged = 0


class _Acceptor:
    """Accepts connections of a listening socket while there is room for them."""

    def __init__(self, sock, group, handle_connection):
        self._sock = sock
        self._group = group
        self._handle_connection = handle_connection
        self._loop = IOLoop.current()
        self._is_listening = self._is_stopped = False
        self._resume()

    def _resume(self):
        if not self._is_listening and not self._is_stopped:
            self._is_listening = True
            self._loop.add_handler(self._sock, self._accept, IOLoop.READ)

    def _pause(self):
        if self._is_listening:
            self._is_listening = False
            self._loop.remove_handler(self._sock)

    def _accept(self, sock, events):
        # Room is made only for a connection that is known to wait.
        if not self._group.make_room():
            self._pause()
            self._group.call_when_room(self._resume)
            return
        for _ in range(MAX_ACCEPTED):
            if self._is_stopped or not self._group.has_room:
                return
            try:
                accepted = sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                log.error("no connection can be accepted now: %s", error)
                self._pause()
                self._loop.call_later(RETRY_MS / MS_PER_S, self._resume)
                return
            self._handle_connection(*accepted)

    def stop(self):
        """Stop accepting connections."""
        self._pause()
        self._is_stopped = True


class BoundedServer(HTTPServer):
    """HTTP server that closes connections before they are too many or hold too much."""

    def initialize(self, request_callback, group, **kwargs):
        """Initialize the server; tornado calls this in place of ``__init__``.

        Parameters
        ----------
        request_callback : object
            Handles the requests.
        group : ConnectionGroup
            The connections of this server.
        **kwargs : object
            Options of tornado's server.
        """
        super().initialize(request_callback, **kwargs)
        self._group = group

    def add_sockets(self, sockets):
        """Accept connections of listening sockets.

        Parameters
        ----------
        sockets : iterable of socket.socket
            The sockets.
        """
        for sock in sockets:
            acceptor = _Acceptor(sock, self._group, self._serve)
            self._sockets[sock.fileno()] = sock
            self._handlers[sock.fileno()] = acceptor.stop

    def _serve(self, sock, address):
        try:
            stream = self._make_stream(sock)
        except OSError as error:
            log.info("a connection of %s ended at once: %s", address[0], error)
            sock.close()
            return
        group = self._group
        stream.connection = ClientConnection(stream, address[0], group.memory, group)
        group.add(stream.connection)
        self.handle_stream(stream, address)

    def _make_stream(self, sock):
        options = {"max_buffer_size": self.max_buffer_size}
        options["read_chunk_size"] = self.read_chunk_size
        if self.ssl_options is None:
            return ClientStream(sock, **options)
        wrapped = ssl_wrap_socket(
            sock, self.ssl_options, server_side=True, do_handshake_on_connect=False
        )
        return ClientTlsStream(wrapped, **options)

    def start_request(self, server_conn, request_conn):
        """Return the delegate of the next request of a connection; tornado calls it.

        Parameters
        ----------
        server_conn : object
            Connection of the client.
        request_conn : tornado.http1connection.HTTP1Connection
            Request on the connection.
        """
        server_conn.stream.connection.begin_wait()
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn):
        """Handle the end of a connection; tornado calls it.

        Parameters
        ----------
        server_conn : object
            Connection that ended.
        """
        server_conn.stream.connection.end()
        super().on_close(server_conn)
        if isinstance(self.request_callback, HTTPServerConnectionDelegate):
            self.request_callback.on_close(server_conn)
