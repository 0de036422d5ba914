"""tornado's curl client, adapted to many concurrent streams at low cost."""

import functools
import re

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.ioloop import IOLoop

INITIAL_HANDLES = 16
# Statuses of answers that have no body, and so no length either.
BODILESS_STATUSES = (204, 304)
# Statuses of final responses. libcurl accepts any number, with anything after it.
STATUS_PATTERN = re.compile(rb"[2-5][0-9][0-9]")
# libcurl's code for a reply that is no valid one, of any protocol.
INVALID_REPLY = pycurl.E_FTP_WEIRD_SERVER_REPLY
# Lines that end a head.
EMPTY_LINES = (b"\r\n", b"\n")
# Bodies from this size are released when their transfer has ended.
LARGE_BODY_BYTES = 65_536
# Largest body that is held in memory; several times the largest answer of any peer.
MAX_BODY_BYTES = 16 << 20


class HeadReader:
    """Finds the end of a response's head, which libcurl does not report.

    libcurl takes the end of a connection inside a head for the end of the response.

    Parameters
    ----------
    parse_line : callable
        Called with each line of the head, as bytes.

    Attributes
    ----------
    complete : bool
        Whether the empty line that ends the head of the final response was read.
    has_status : bool
        Whether that head has a valid status.
    """

    def __init__(self, parse_line):
        self.complete = False
        self.has_status = False
        self._parse_line = parse_line
        self._is_interim = False

    def handle_line(self, line):
        """Handle one line; the trailer fields of a chunked body are ignored.

        Parameters
        ----------
        line : bytes
            The line, with its line ending.
        """
        if self.complete:
            return
        if line.startswith(b"HTTP/"):
            words = line.split(None, 2)
            code = words[1] if len(words) > 1 else b""
            self.has_status = STATUS_PATTERN.fullmatch(code) is not None
            self._is_interim = code.startswith(b"1")
        elif line in EMPTY_LINES:
            self.complete = not self._is_interim
        self._parse_line(line)


class CountedBuffer:
    """Buffer of a response's body that counts in the node's memory of answers.

    Parameters
    ----------
    buffer : io.BytesIO
        Holds the body.
    answer_memory : AnswerMemory
        Bounds the unfinished answers that are held.
    """

    def __init__(self, buffer, answer_memory):
        self._buffer = buffer
        self._answer_memory = answer_memory
        self._is_given_up = False
        self.tell = buffer.tell

    def write(self, chunk):
        """Append a part of the body, and return how much of it was taken.

        Parameters
        ----------
        chunk : bytes
            The part. If the answer was given up, libcurl ends its transfer.
        """
        if self._is_given_up:
            return 0
        count = self._buffer.write(chunk)
        size = self._buffer.tell()
        if size >= LARGE_BODY_BYTES:
            self._answer_memory.update(self, size)
        return count

    def give_up_answer(self):
        """Drop the body, for which there is no room."""
        self._is_given_up = True
        self._buffer.seek(0)
        self._buffer.truncate()

    def end(self):
        """Stop counting the body."""
        self._answer_memory.remove(self)


class CurlClient(CurlAsyncHTTPClient):
    """curl client that creates handles on demand and can cancel a transfer.

    A response that ends inside its head or has no valid status fails its request.
    Redirects are not followed.

    Parameters
    ----------
    max_transfers : int
        Maximum number of concurrent transfers; further requests are queued.
    max_body_bytes : int
        Maximum size of a body that is held in memory; a longer one fails its request.
    answer_memory : AnswerMemory or None
        Bounds the bodies that are held, of which the largest fails if there is no room;
        None for endpoints of the platform.
    """

    def initialize(
        self,
        max_transfers,
        max_body_bytes=MAX_BODY_BYTES,
        answer_memory=None,
        **kwargs,
    ):
        """Initialize the client; tornado calls this in place of ``__init__``.

        Parameters
        ----------
        max_transfers : int
            Maximum number of concurrent transfers.
        max_body_bytes : int
            Maximum size of a body in bytes.
        answer_memory : AnswerMemory or None
            Bounds the bodies that are held.
        **kwargs : object
            Options of tornado's client.
        """
        self._max_transfers = max_transfers
        self._answer_memory = answer_memory
        first = min(INITIAL_HANDLES, max_transfers)
        defaults = {"follow_redirects": False, **kwargs.pop("defaults", {})}
        super().initialize(
            max_clients=first,
            max_body_size=max_body_bytes,
            defaults=defaults,
            **kwargs,
        )

    def _curl_setup_request(self, curl, request, buffer, headers):
        if self._answer_memory is not None:
            buffer = CountedBuffer(buffer, self._answer_memory)
            curl.info["counted_buffer"] = buffer
        super()._curl_setup_request(curl, request, buffer, headers)
        parse_line = getattr(request, "parse_header_line", None)
        if parse_line is None:
            parse_line = functools.partial(
                self._curl_header_callback, headers, request.header_callback
            )
        head = curl.info["head"] = HeadReader(parse_line)
        curl.setopt(pycurl.HEADERFUNCTION, head.handle_line)

    def _finish(self, curl, curl_error=None, curl_message=None):
        if curl_error is None and not curl.info["head"].complete:
            curl_error = pycurl.E_RECV_ERROR
            curl_message = "the connection ended inside the head of the response"
        elif curl_error is None and not curl.info["head"].has_status:
            curl_error = INVALID_REPLY
            curl_message = "the response has no valid status"
        if self._answer_memory is not None:
            curl.info["counted_buffer"].end()
        sent_bytes = len(curl.info["request"].body or b"")
        received_bytes = curl.info["buffer"].tell()
        super()._finish(curl, curl_error, curl_message)
        _release_bodies(curl, sent_bytes, received_bytes)

    def close(self):
        """Close all connections, and remove the timer that closing them may set."""
        super().close()
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)

    def cancel(self, curl):
        """Cancel a transfer and close its connection.

        Parameters
        ----------
        curl : pycurl.Curl
            Handle of the transfer; if the transfer has ended, this has no effect.
        """
        if self._multi is not None and getattr(curl, "info", None) is not None:
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "cancelled")
            self._process_queue()

    def _process_queue(self):
        missing = len(self._requests) - len(self._free_list)
        allowed = self._max_transfers - len(self._curls)
        for _ in range(min(missing, allowed)):
            curl = self._curl_create()
            self._curls.append(curl)
            self._free_list.append(curl)
        super()._process_queue()

    def _handle_events(self, fd, events):
        # Called for each read of a stream. To save time, ended transfers are looked for
        # only if libcurl has fewer active transfers than there are handles in use.
        action = pycurl.CSELECT_IN if events & IOLoop.READ else 0
        if events & IOLoop.WRITE:
            action |= pycurl.CSELECT_OUT
        try:
            _, active = self._multi.socket_action(fd, action)
        except pycurl.error:
            active = None
        if active is None or active < len(self._curls) - len(self._free_list):
            self._finish_pending_requests()


def _release_bodies(curl, sent_bytes, received_bytes):
    """Let go of large bodies, which a handle would keep until its next transfer."""
    if sent_bytes >= LARGE_BODY_BYTES:
        curl.setopt(pycurl.READFUNCTION, _read_nothing)
        curl.setopt(pycurl.SEEKFUNCTION, _refuse_seek)
    if received_bytes >= LARGE_BODY_BYTES:
        curl.setopt(pycurl.WRITEFUNCTION, len)


def _read_nothing(size):
    return b""


def _refuse_seek(offset, origin):
    return pycurl.SEEKFUNC_CANTSEEK
