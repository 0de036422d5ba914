"""Streams of clients that report what they hold, and the client connection itself."""

import fcntl
import sys
import termios

from tornado.iostream import IOStream, SSLIOStream

from peridotcove.connection_memory.memory import FULL, Holder

# Chunks of a body that are decoded in one go; each takes time however small it is.
CHUNKS_PER_TURN = 64
# Size of a C integer.
INT_BYTES = 4
# Smaller amounts are not counted; the memory of a connection includes them.
MIN_COUNTED_BYTES = 4_096


class ClientConnection(Holder):
    """One client's connection: what it holds, and what it is doing.

    Parameters
    ----------
    stream : ClientStream or ClientTlsStream
        Stream of the connection.
    address : str
        IP address of the client.
    memory : ConnectionMemory
        Counts what the connection holds.
    group : ConnectionGroup
        All connections to the same port.
    """

    def __init__(self, stream, address, memory, group):
        self.address = address
        self.sink = None
        self._stream = stream
        self._memory = memory
        self._group = group
        self._body_bytes = 0
        self._is_running = False
        self._refuse = None

    @property
    def is_spared(self):
        """Whether its request runs, and nothing is waiting for the client to read."""
        return self._is_running and not self._stream.writing()

    def measure(self):
        """Return the bytes that are held now."""
        stream, sink = self._stream, self.sink
        size = self._body_bytes + stream.unread_bytes + stream.unsent_bytes
        return size if sink is None else size + sink.buffered_bytes

    def count_moved(self):
        """Return the bytes that the client has sent and taken since it connected."""
        return self._stream.count_moved()

    def update(self):
        """Report that the connection holds more."""
        self._memory.update(self)

    async def wait_for_turn(self):
        """Let other connections and all other work go first."""
        await self._group.turns.wait()

    def begin_wait(self):
        """Wait for the next request."""
        self._end_body()
        self._is_running = self.is_receiving = False
        self._refuse = self.sink = None
        self._group.set_idle(self, True)

    def has_room_for(self, length):
        """Return whether a body of an announced length could be admitted now.

        Parameters
        ----------
        length : str
            Field value of the length; any other text counts as unknown.
        """
        return not length.isdecimal() or self._memory.has_room_for(int(length))

    def begin_request(self, has_body, refuse):
        """Handle the head of a request.

        Parameters
        ----------
        has_body : bool
            Whether a body follows.
        refuse : callable
            Refuses the request while its body arrives; called with the reason.
        """
        self._group.set_idle(self, False)
        if has_body:
            self.is_receiving = True
            self._refuse = refuse
            self._memory.watch(self)
        elif self.held_bytes:
            self._memory.forget(self)

    def set_body_bytes(self, size):
        """Set the size of the part of the body that has come.

        Parameters
        ----------
        size : int
            Size in bytes.
        """
        self._body_bytes = size
        if size >= MIN_COUNTED_BYTES:
            self._memory.update(self)

    def begin_running(self):
        """Handle the end of the body; return whether there is room to run the request.

        The body stays counted until `begin_answer` or `begin_wait`.
        """
        if not self.is_receiving:
            self._is_running = True
            return True
        self.is_receiving = False
        self._refuse = None
        if self._body_bytes < MIN_COUNTED_BYTES:
            self._memory.forget(self)
        elif not self._memory.admit(self, self._body_bytes):
            self._group.record_given_up(self, FULL)
            return False
        self._is_running = True
        return True

    def begin_answer(self):
        """Handle that the answer is written as a whole: the body is not needed."""
        self._is_running = False
        self._end_body()

    def _end_body(self):
        if self._body_bytes >= MIN_COUNTED_BYTES:
            self._memory.dismiss(self)
            self._memory.forget(self)
        self._body_bytes = 0

    def give_up(self, reason):
        """Refuse the request that is arriving, or close the connection.

        Parameters
        ----------
        reason : str
            Why; a label of the metric.
        """
        self._group.record_given_up(self, reason)
        refuse, self._refuse = self._refuse, None
        self.is_receiving = False
        if refuse is not None and not self._stream.closed():
            self._body_bytes = 0
            refuse(reason)
        else:
            self._stream.close()

    def close(self):
        """Close the connection."""
        self._stream.close()

    def end(self):
        """Forget the connection, which has ended."""
        self._end_body()
        self.is_receiving = False
        self._refuse = self.sink = None
        self._memory.forget(self)
        self._group.remove(self)


class _Counting:
    """Reports to the connection what a stream holds."""

    connection = None

    # These are tornado's own counts; to count again would cost time for each token.

    @property
    def unread_bytes(self):
        """Bytes that were received and not handled yet."""
        return self._read_buffer_size

    @property
    def unsent_bytes(self):
        """Bytes that the client has not taken yet; none after the stream has closed."""
        return len(self._write_buffer) if self._write_buffer else 0

    received_bytes = 0
    _chunks_left = CHUNKS_PER_TURN

    def count_moved(self):
        """Return the bytes that were received, or taken by the client."""
        moved_bytes = self.received_bytes + self._total_write_done_index
        return moved_bytes - self._count_queued() if self._write_buffer else moved_bytes

    def _count_queued(self):
        """Return the bytes in the system's buffer that the client has not taken.

        The system asks for more only once a third of a buffer of up to some MB is free,
        which a slow client takes long for.
        """
        try:
            data = fcntl.ioctl(self.socket, termios.TIOCOUTQ, bytes(INT_BYTES))
        except OSError:
            return 0
        return int.from_bytes(data, sys.byteorder)

    def read_from_fd(self, buf):
        """Read from the socket; tornado calls it.

        Parameters
        ----------
        buf : bytearray
            Receives the bytes.
        """
        count = super().read_from_fd(buf)
        if count:
            self.received_bytes += count
            if self._read_buffer_size + count >= MIN_COUNTED_BYTES:
                self.connection.update()
        return count

    def read_until(self, delimiter, max_bytes=None):
        """Read a line; tornado calls it for the head of each chunk of a body.

        Parameters
        ----------
        delimiter : bytes
            End of the line.
        max_bytes : int or None
            Largest size of the line.
        """
        self._chunks_left -= 1
        if self._chunks_left > 0:
            return super().read_until(delimiter, max_bytes)
        self._chunks_left = CHUNKS_PER_TURN
        return self._read_in_turn(delimiter, max_bytes)

    async def _read_in_turn(self, delimiter, max_bytes):
        await self.connection.wait_for_turn()
        return await super().read_until(delimiter, max_bytes)

    def _find_read_pos(self):
        """Return how much of what was received the read in progress takes, or None.

        tornado looks for the end of a head with a regular expression, which takes over
        a millisecond for a long head without one, and again for each of its parts.
        """
        buffer = self._read_buffer
        if (
            self._read_regex is not None
            and buffer.find(b"\n\r\n") < 0
            and buffer.find(b"\n\n") < 0
        ):
            if self._read_max_bytes is not None:
                self._check_max_bytes(self._read_regex, self._read_buffer_size)
            return None
        return super()._find_read_pos()

    def write(self, data):
        """Write data; what the client doesn't take at once is counted.

        Parameters
        ----------
        data : bytes
            The data.
        """
        future = super().write(data)
        if self._write_buffer:
            self.connection.update()
        return future


class ClientStream(_Counting, IOStream):
    """Stream of a client's connection."""


class ClientTlsStream(_Counting, SSLIOStream):
    """Stream of a client's connection with TLS."""
