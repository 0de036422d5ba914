"""Commands for operators: validate files, and show the time lines of nodes."""

import asyncio
import json
import pathlib
import ssl

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Type

from peridotcove.clock import Clock
from peridotcove.configuration import parse_configuration
from peridotcove.configuration_differences import find_differences
from peridotcove.configuration_files import read_configuration_json
from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.operators.timeline_collection import collect_timelines
from peridotcove.schema import build
from peridotcove.settings import Settings, read_node_settings
from peridotcove.timeline_merge import filter_entries, merge_timelines
from peridotcove.timeline_output import format_lines, make_chrome_trace

EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2
SETTINGS_KEYS = {"node", "callers", "nodes", "operators", "platform", "secret"}


class CheckCommand(Command):
    """``peridotcove check FILE...``."""

    name = "check"
    description = "Check settings and configuration files; list every fault."
    arguments = [
        argument(
            "files",
            "Files, or folders with the parts of a configuration.",
            multiple=True,
        )
    ]
    options = [
        option(
            "previous",
            None,
            "Configuration in force; show the differences.",
            flag=False,
        )
    ]
    help = (
        "Exit codes: 0 all files are valid, 1 a file has faults, 2 a file can't be "
        "found or the usage is wrong."
    )

    def handle(self):
        """Check each file and print its summary or its faults."""
        files = [pathlib.Path(name) for name in self.argument("files")]
        previous = self.option("previous")
        inputs = [*files, pathlib.Path(previous)] if previous else files
        absent = [str(file) for file in inputs if not file.exists()]
        for name in absent:
            self.line_error(f"{name}: no such file or folder")
        if absent:
            return EXIT_USAGE
        faults = 0
        for file in files:
            faults += self._check(file, previous)
        return EXIT_FAULTS if faults else EXIT_OK

    def _check(self, file, previous):
        try:
            summary = check_document(file)
            changes = list_changes(previous, file) if previous else ()
        except InvalidSettings as error:
            for fault in error.exceptions:
                self.line_error(str(fault))
            self.line_error(f"{file}: {len(error.exceptions)} fault(s)")
            return len(error.exceptions)
        self.line(f"{file}: {summary}")
        for change in changes:
            self.line(f"  {change}")
        return 0


def check_document(file):
    """Return a summary of a valid file.

    Parameters
    ----------
    file : pathlib.Path
        Settings file, configuration file, or folder of configuration parts.

    Raises
    ------
    InvalidSettings
        If the file has faults; contains all of them.
    """
    if str(file).endswith(".toml"):
        return f"valid settings of node {read_node_settings(str(file)).node}"
    raw = read_configuration_json(file)
    if isinstance(raw, dict) and SETTINGS_KEYS & raw.keys():
        settings = build(Settings, raw, str(file))
        faults = list(_check_secrets(settings, str(file)))
        if faults:
            raise InvalidSettings(f"{file} is not valid", faults)
        return f"valid settings of node {settings.node}"
    configuration = parse_configuration(raw, str(file))
    counts = (
        f"{len(configuration.customer_by_name)} customers, "
        f"{len(configuration.engine_by_name)} engines, "
        f"{len(configuration.service_by_name)} services"
    )
    return f"a valid configuration, revision {configuration.revision}, {counts}"


def _check_secrets(settings, path):
    try:
        settings.secret.read(f"{path}.secret")
    except SettingError as fault:
        yield fault
    if settings.tls is not None:
        files = (settings.tls.certificate_file, settings.tls.key_file)
        try:
            ssl.create_default_context(ssl.Purpose.CLIENT_AUTH).load_cert_chain(*files)
        except (OSError, ssl.SSLError) as error:
            allowed = "a certificate chain and its key in PEM files"
            yield SettingError(f"{path}.tls", str(error), allowed)


def list_changes(previous, file):
    """Return descriptions of the differences between two configurations.

    Parameters
    ----------
    previous : str
        Configuration in force: a file or a folder of parts.
    file : pathlib.Path
        New configuration: a file or a folder of parts.
    """
    old = parse_configuration(read_configuration_json(previous), str(previous))
    new = parse_configuration(read_configuration_json(file), str(file))
    return find_differences(old, new)


class TimelineCommand(Command):
    """``peridotcove timeline NODE...``."""

    name = "timeline"
    description = "Show the events of several nodes in order of time."
    arguments = [
        argument("nodes", "HOST:PORT of the nodes' operators' ports.", multiple=True)
    ]
    options = [
        option("request", None, "Show only one request, by its id in hex.", flag=False),
        option("revision", None, "Show only one revision, by its number.", flag=False),
        option("chrome", None, "Print Chrome trace JSON instead of lines.", flag=True),
        option(
            "timeout", None, "Timeout in seconds for a node.", flag=False, default="5"
        ),
    ]
    help = (
        "Nodes that do not answer are listed and left out. Exit codes: 0 all nodes "
        "answered, 1 some are missing, 2 none answered or the usage is wrong."
    )

    def handle(self):
        """Collect, merge and print the time lines."""
        try:
            request_id, revision, timeout_s = self._read_options()
        except ValueError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        nodes = self.argument("nodes")
        timelines, missing = asyncio.run(collect_timelines(nodes, Clock(), timeout_s))
        for item in missing:
            self.line_error(f"missing {item.address}: {item.reason}")
        if not timelines:
            return EXIT_USAGE
        entries = merge_timelines(timelines)
        if request_id is not None or revision is not None:
            entries = filter_entries(entries, request_id, revision)
        self._print(entries, timelines)
        return EXIT_FAULTS if missing else EXIT_OK

    def _read_options(self):
        request = self.option("request")
        revision = self.option("revision")
        request_id = None if request is None else bytes.fromhex(request)
        number = None if revision is None else int(revision)
        return request_id, number, float(self.option("timeout"))

    def _print(self, entries, timelines):
        if self.option("chrome"):
            self.io.write(json.dumps(make_chrome_trace(entries)), type=Type.RAW)
            return
        for line in format_lines(entries):
            self.io.write_line(line, type=Type.RAW)
        for timeline in timelines:
            if timeline.lost:
                self.line_error(
                    f"{timeline.node}: {timeline.lost} older events were dropped"
                )
