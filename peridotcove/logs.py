"""Structured logs: JSON lines on standard output, bounded, never blocking."""

import asyncio
import collections
import contextlib
import logging
import os
import sys

from pythonjsonlogger.json import JsonFormatter

from peridotcove.clock import MS_PER_S, Clock

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Bytes that wait for a reader that is slow; a few seconds of lines at their full rate.
MAX_WAITING_BYTES = 1 << 20
# Lines a second below level WARNING, above what one node's requests need at the rates
# of its sheet, and at that level or above it.
INFO_LINES_PER_S = 600
WARNING_LINES_PER_S = 200
# Period in ms at which lost lines are counted in a line of their own.
REPORT_MS = 1_000


class RateLimit:
    """Lets a number of lines through in each second.

    Parameters
    ----------
    lines_per_s : int
        Most lines in one second.
    clock : Clock
        Source of time.
    """

    def __init__(self, lines_per_s, clock):
        self._most = lines_per_s
        self._clock = clock
        self._since_ms = clock.now()
        self._count = 0

    def admit(self):
        """Count a line; return whether it may be written."""
        now = self._clock.now()
        if now - self._since_ms >= MS_PER_S:
            self._since_ms, self._count = now, 0
        self._count += 1
        return self._count <= self._most


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor and drops what does not fit.

    Lines about failures, at level WARNING or above, take the place of others that wait.

    Parameters
    ----------
    fd : int
        File descriptor; set to not block.
    clock : Clock
        Source of time.

    Attributes
    ----------
    dropped : int
        Lines that were not written.
    """

    def __init__(self, fd, clock):
        super().__init__()
        self.dropped = 0
        self._fd = fd
        self._clock = clock
        self._limit = RateLimit(INFO_LINES_PER_S, clock)
        self._warning_limit = RateLimit(WARNING_LINES_PER_S, clock)
        self._waiting = collections.deque()
        self._waiting_bytes = 0
        self._begun = b""
        self._watched = False
        self._reported = 0
        self._reported_ms = clock.now()
        with contextlib.suppress(OSError):
            os.set_blocking(fd, False)

    @property
    def waiting_bytes(self):
        """Bytes that wait to be written."""
        return self._waiting_bytes + len(self._begun)

    def emit(self, record):
        """Write a record, or keep it until the reader goes on, or drop it.

        Parameters
        ----------
        record : logging.LogRecord
            The record.
        """
        urgent = record.levelno >= logging.WARNING
        limit = self._warning_limit if urgent else self._limit
        if not limit.admit():
            self.dropped += 1
            return
        try:
            line = self.format(record).encode("utf-8", "replace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        self._put(urgent, line)
        self._report()
        self._flush()

    def _put(self, urgent, line):
        while urgent and self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            if not self._drop_one():
                break
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting.append((urgent, line))
        self._waiting_bytes += len(line)

    def _drop_one(self):
        """Drop the oldest line that is not urgent; return whether there was one."""
        for index, (urgent, line) in enumerate(self._waiting):
            if not urgent:
                del self._waiting[index]
                self._waiting_bytes -= len(line)
                self.dropped += 1
                return True
        return False

    def _report(self):
        now = self._clock.now()
        if self.dropped == self._reported or now - self._reported_ms < REPORT_MS:
            return
        count, self._reported = self.dropped - self._reported, self.dropped
        self._reported_ms = now
        text = f"logs: {count} lines dropped"
        record = logging.LogRecord(
            "peridotcove.logs", logging.WARNING, "", 0, text, None, None
        )
        self._put(True, self.format(record).encode() + b"\n")

    def _flush(self):
        while self._begun or self._waiting:
            if not self._begun:
                _, self._begun = self._waiting.popleft()
                self._waiting_bytes -= len(self._begun)
            try:
                written = os.write(self._fd, self._begun)
            except BlockingIOError:
                self._watch(True)
                return
            except OSError:
                # Nobody reads any more.
                self.dropped += 1
                written = len(self._begun)
            self._begun = self._begun[written:]
        self._watch(False)

    def _watch(self, wanted):
        if wanted == self._watched:
            return
        try:
            loop = asyncio.get_running_loop()
            if wanted:
                loop.add_writer(self._fd, self._flush)
            else:
                loop.remove_writer(self._fd)
            self._watched = wanted
        except (RuntimeError, OSError):
            # Without a loop, or for a plain file, the next line tries again.
            self._watched = False


def start_logs(level, node):
    """Send the log of the whole process to standard output.

    Parameters
    ----------
    level : str
        Lowest level that is written, such as ``"INFO"``.
    node : str
        Name of the instance, on every line.

    Returns
    -------
    BoundedHandler
        What writes the lines.
    """
    handler = BoundedHandler(sys.stdout.fileno(), Clock())
    handler.setFormatter(JsonFormatter(FIELDS, static_fields={"node": node}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # tornado logs each answer of 500 and above as an error, readiness included.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    logging.getLogger("websockets").setLevel(logging.WARNING)
    return handler


def get_logger(part):
    """Return the logger of one part, which puts the part before each sentence.

    Parameters
    ----------
    part : str
        Short name of the part, such as ``"links"``.
    """
    return PartLogger(logging.getLogger(f"peridotcove.{part}"), {"part": part})


class PartLogger(logging.LoggerAdapter):
    """A logger that puts the name of its part before each sentence."""

    def process(self, msg, kwargs):
        """Return the message with its prefix.

        Parameters
        ----------
        msg : str
            The sentence.
        kwargs : dict
            Keyword arguments of the call.
        """
        return f"{self.extra['part']}: {msg}", kwargs
