"""Finds what many nodes' logs say of one request, or of what a process believed."""

import json
import pathlib

from attrs import frozen
from cleo.commands.command import Command
from cleo.helpers import argument, option

EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2
# Fields that stand at the start of a printed line, or say nothing further.
SHOWN_FIRST = ("asctime", "node", "kind", "request", "levelname", "name", "message")


@frozen
class LogLine:
    """One line of a node's log.

    Attributes
    ----------
    at : str
        Date and time as logged; sorts as time.
    node : str
        Name of the instance.
    fields : dict
        All fields of the line.
    """

    at: str
    node: str
    fields: dict

    def __str__(self):
        fields = self.fields
        inputs = [
            f"{name}={value}"
            for name, value in fields.items()
            if name not in SHOWN_FIRST
        ]
        what = fields.get("kind") or fields.get("message", "")
        return f"{self.at} {self.node} {what} {' '.join(inputs)}".rstrip()


def read_lines(text):
    """Yield the `LogLine` of each line that holds a JSON object.

    What stands before the object, as some collectors of logs add, is ignored, and so
    are lines without one.

    Parameters
    ----------
    text : str
        Content of a log.
    """
    for line in text.splitlines():
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "asctime" in fields:
            yield LogLine(str(fields["asctime"]), str(fields.get("node", "")), fields)


def find_story(lines, request="", kinds=(), node="", endpoint=""):
    """Return the lines about one request or endpoint, or of some kinds, oldest first.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of many nodes.
    request : str
        Id of the request; all when empty.
    kinds : collection of str
        Kinds of events; all when empty.
    node : str
        Name of the instance; all when empty.
    endpoint : str
        Name of an endpoint that any field mentions; all when empty.
    """
    found = [
        line
        for line in lines
        if (not request or line.fields.get("request") == request)
        and (not kinds or line.fields.get("kind") in kinds)
        and (not node or line.node == node)
        and (not endpoint or _mentions(line, endpoint))
    ]
    return sorted(found, key=lambda line: line.at)


def _mentions(line, endpoint):
    return any(endpoint in str(value) for value in line.fields.values())


class TraceCommand(Command):
    """``peridotcove trace FILE...``."""

    name = "trace"
    description = "Print what the logs of many nodes say of one request."
    arguments = [argument("files", "Files of logs.", multiple=True)]
    options = [
        option("request", None, "Id of the request.", flag=False, default=""),
        option("kind", None, "Kinds of events.", flag=False, multiple=True),
        option("node", None, "Name of the instance.", flag=False, default=""),
        option("endpoint", None, "Name of an endpoint.", flag=False, default=""),
    ]
    help = (
        "Clocks of nodes may differ by some ms. Exit codes: 0 lines were found, "
        "1 none were, 2 a file can't be read."
    )

    def handle(self):
        """Read the files and print the story."""
        lines = []
        for name in self.argument("files"):
            try:
                text = pathlib.Path(name).read_text("utf-8", errors="replace")
            except OSError as error:
                self.line_error(f"{name}: {error.strerror}")
                return EXIT_USAGE
            lines.extend(read_lines(text))
        request, node, endpoint = map(self.option, ("request", "node", "endpoint"))
        story = find_story(lines, request, self.option("kind"), node, endpoint)
        for line in story:
            self.io.write_line(str(line))
        if request and not story:
            self.line_error(
                f"no node names {request}: it reached none, or lines were dropped; "
                "look for node-started, drain-started and dropped lines at its time"
            )
        return EXIT_OK if story else EXIT_FAULTS
