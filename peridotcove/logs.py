"""Structured logs: one JSON object a line on standard error."""

import logging

from pythonjsonlogger.json import JsonFormatter

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def start_logs(level, node):
    """Send the log of the whole process to standard error.

    Parameters
    ----------
    level : str
        Lowest level that is written, such as ``"INFO"``.
    node : str
        Name of the instance, on every line.
    """
    handler = logging.StreamHandler()
    handler.setFormatter(JsonFormatter(FIELDS, static_fields={"node": node}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("tornado.access").setLevel(logging.WARNING)
    logging.getLogger("websockets").setLevel(logging.WARNING)


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
