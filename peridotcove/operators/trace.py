"""Finds the lines about a request, endpoint or kind of event in many nodes' logs."""

import json
import pathlib

from attrs import frozen
from cleo.commands.command import Command
from cleo.helpers import argument, option

EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2
# Fields that a printed line starts with or leaves out.
LEADING_FIELDS = ("asctime", "node", "kind", "request", "levelname", "name", "message")


@frozen
class LogLine:
    """One line of a node's log.

    Attributes
    ----------
    at : str
        Date and time as logged; sorts in order of time.
    node : str
        Name of the instance.
    fields : dict
        All fields of the line by name.
    """

    at: str
    node: str
    fields: dict

    def __str__(self):
        fields = self.fields
        details = [
            f"{name}={value}"
            for name, value in fields.items()
            if name not in LEADING_FIELDS
        ]
        title = fields.get("kind") or fields.get("message", "")
        return f"{self.at} {self.node} {title} {' '.join(details)}".rstrip()


def parse_lines(text):
    """Yield the `LogLine` of each line that holds a JSON object.

    Text before the object, which some log collectors add, is ignored, and so are
    lines without an object.

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


def find_lines(lines, request="", kinds=(), node="", endpoint=""):
    """Return the lines that match all given filters, oldest first.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of any number of nodes.
    request : str
        Id of the request; empty for all.
    kinds : collection of str
        Kinds of events; empty for all.
    node : str
        Name of the instance; empty for all.
    endpoint : str
        Name of an endpoint that a field must contain; empty for all.
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
    description = "Print the lines about one request from the logs of many nodes."
    arguments = [argument("files", "Log files.", multiple=True)]
    options = [
        option("request", None, "Id of the request.", flag=False, default=""),
        option("kind", None, "Kinds of events.", flag=False, multiple=True),
        option("node", None, "Name of the instance.", flag=False, default=""),
        option("endpoint", None, "Name of an endpoint.", flag=False, default=""),
    ]
    help = (
        "Clocks of nodes may differ by a few ms. Exit codes: 0 lines were found, "
        "1 no lines were found, 2 a file can't be read."
    )

    def handle(self):
        """Read the files and print the lines that match."""
        lines = []
        for name in self.argument("files"):
            try:
                text = pathlib.Path(name).read_text("utf-8", errors="replace")
            except OSError as error:
                self.line_error(f"{name}: {error.strerror}")
                return EXIT_USAGE
            lines.extend(parse_lines(text))
        request, node, endpoint = map(self.option, ("request", "node", "endpoint"))
        matches = find_lines(lines, request, self.option("kind"), node, endpoint)
        for line in matches:
            self.io.write_line(str(line))
        if request and not matches:
            self.line_error(
                f"no log contains request {request}: it reached no node, or lines were "
                "dropped; check for node-started, drain-started and dropped lines at "
                "the time of the request"
            )
        return EXIT_OK if matches else EXIT_FAULTS
