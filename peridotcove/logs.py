"""Structured logging: JSON lines on standard output, bounded and non-blocking."""

import asyncio
import collections
import contextlib
import logging
import os
import sys

from pythonjsonlogger.json import JsonFormatter

from peridotcove.clock import MS_PER_S, Clock

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Limit of the lines queued for a slow reader: a few seconds at the maximum line rate.
MAX_PENDING_BYTES = 1 << 20
# Rate limits for lines below level WARNING and for lines at WARNING or above. The first
# is above what a node logs at its rated capacity.
INFO_LINES_PER_S = 600
WARNING_LINES_PER_S = 200
# Minimum interval between two lines that report the number of dropped lines.
DROP_REPORT_INTERVAL_MS = 1_000


class LineRateLimiter:
    """Limits the number of lines in each window of one second.

    Parameters
    ----------
    lines_per_s : int
        Maximum number of lines per second.
    clock : Clock
        Source of time.
    """

    def __init__(self, lines_per_s, clock):
        self._max_lines = lines_per_s
        self._clock = clock
        self._window_start_ms = clock.now()
        self._count = 0

    def admit(self):
        """Count a line and return whether it is within the limit."""
        now = self._clock.now()
        if now - self._window_start_ms >= MS_PER_S:
            self._window_start_ms, self._count = now, 0
        self._count += 1
        return self._count <= self._max_lines


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking; drops excess lines.

    If the queue is full, a line at level WARNING or above replaces the oldest queued
    lines of lower levels.

    Parameters
    ----------
    fd : int
        File descriptor; it is set to non-blocking mode.
    clock : Clock
        Source of time.

    Attributes
    ----------
    dropped : int
        Number of lines that were dropped.
    """

    def __init__(self, fd, clock):
        super().__init__()
        self.dropped = 0
        self._fd = fd
        self._clock = clock
        self._info_limiter = LineRateLimiter(INFO_LINES_PER_S, clock)
        self._warning_limiter = LineRateLimiter(WARNING_LINES_PER_S, clock)
        self._pending_lines = collections.deque()
        self._pending_bytes = 0
        self._partial_line = b""
        self._writer_registered = False
        self._reported_count = 0
        self._reported_ms = clock.now()
        with contextlib.suppress(OSError):
            os.set_blocking(fd, False)

    @property
    def pending_bytes(self):
        """Number of bytes queued for writing."""
        return self._pending_bytes + len(self._partial_line)

    def emit(self, record):
        """Write a record, queue it while the reader is slow, or drop it.

        Parameters
        ----------
        record : logging.LogRecord
            The record.
        """
        urgent = record.levelno >= logging.WARNING
        limiter = self._warning_limiter if urgent else self._info_limiter
        if not limiter.admit():
            self.dropped += 1
            return
        try:
            line = self.format(record).encode("utf-8", "replace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        self._enqueue(urgent, line)
        self._report_dropped()
        self._flush()

    def _enqueue(self, urgent, line):
        while urgent and self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            if not self._drop_oldest_info_line():
                break
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending_lines.append((urgent, line))
        self._pending_bytes += len(line)

    def _drop_oldest_info_line(self):
        """Drop the oldest queued line below WARNING; return whether there was one."""
        for index, (urgent, line) in enumerate(self._pending_lines):
            if not urgent:
                del self._pending_lines[index]
                self._pending_bytes -= len(line)
                self.dropped += 1
                return True
        return False

    def _report_dropped(self):
        now = self._clock.now()
        if (
            self.dropped == self._reported_count
            or now - self._reported_ms < DROP_REPORT_INTERVAL_MS
        ):
            return
        count, self._reported_count = self.dropped - self._reported_count, self.dropped
        self._reported_ms = now
        text = f"logs: {count} lines dropped"
        record = logging.LogRecord(
            "peridotcove.logs", logging.WARNING, "", 0, text, None, None
        )
        self._enqueue(True, self.format(record).encode() + b"\n")

    def _flush(self):
        while self._partial_line or self._pending_lines:
            if not self._partial_line:
                _, self._partial_line = self._pending_lines.popleft()
                self._pending_bytes -= len(self._partial_line)
            try:
                written = os.write(self._fd, self._partial_line)
            except BlockingIOError:
                self._set_writer(True)
                return
            except OSError:
                # The reader has closed its end: the line is dropped.
                self.dropped += 1
                written = len(self._partial_line)
            self._partial_line = self._partial_line[written:]
        self._set_writer(False)

    def _set_writer(self, enabled):
        if enabled == self._writer_registered:
            return
        try:
            loop = asyncio.get_running_loop()
            if enabled:
                loop.add_writer(self._fd, self._flush)
            else:
                loop.remove_writer(self._fd)
            self._writer_registered = enabled
        except (RuntimeError, OSError):
            # No loop is running, or the descriptor is a regular file, which a selector
            # can't watch. The next line flushes again.
            self._writer_registered = False


def configure_logging(level, node):
    """Configure the logging of the process: JSON lines on standard output.

    Parameters
    ----------
    level : str
        Lowest level that is logged, such as ``"INFO"``.
    node : str
        Name of the instance, added to each line.

    Returns
    -------
    BoundedHandler
        The handler of the root logger.
    """
    handler = BoundedHandler(sys.stdout.fileno(), Clock())
    handler.setFormatter(JsonFormatter(LOG_FORMAT, static_fields={"node": node}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # tornado logs each response with status 500 or above as an error, including those
    # of the readiness check.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    logging.getLogger("websockets").setLevel(logging.WARNING)
    return handler


def get_logger(part):
    """Return a logger that prefixes each message with the name of a component.

    Parameters
    ----------
    part : str
        Short name of the component, such as ``"links"``.
    """
    return PrefixLogger(logging.getLogger(f"peridotcove.{part}"), {"part": part})


class PrefixLogger(logging.LoggerAdapter):
    """Logger adapter that prefixes each message with the name of a component."""

    def process(self, msg, kwargs):
        """Return the message with its prefix, and the keyword arguments unchanged.

        Parameters
        ----------
        msg : str
            The message.
        kwargs : dict
            Keyword arguments of the logging call.
        """
        return f"{self.extra['part']}: {msg}", kwargs
