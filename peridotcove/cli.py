"""The command line: one cleo application for all commands."""

import importlib

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument

from peridotcove import __version__
from peridotcove.platform.settings import PATH_VARIABLE

EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2

COMMANDS = {
    "bench routing": "peridotcove.bench.commands:BenchRoutingCommand",
    "bench fleet": "peridotcove.bench.fleet:BenchFleetCommand",
    "bench capacity": "peridotcove.bench.capacity:BenchCapacityCommand",
    "bench operators": "peridotcove.bench.operators:BenchOperatorsCommand",
    "check": "peridotcove.operators.commands:CheckCommand",
    "timeline": "peridotcove.operators.commands:TimelineCommand",
    "trace": "peridotcove.operators.trace:TraceCommand",
    "demo-caller": "peridotcove.standins.commands:DemoCallerCommand",
    "standin engine": "peridotcove.standins.commands:StandinEngineCommand",
    "standin service": "peridotcove.standins.commands:StandinServiceCommand",
    "standin platform": "peridotcove.standins.commands:StandinPlatformCommand",
    "bench relay": "peridotcove.bench.relay:BenchRelayCommand",
}


class NodeCommand(Command):
    """``peridotcove node SETTINGS``."""

    name = "node"
    description = "Run one node until it is told to stop (SIGTERM drains it)."
    arguments = [
        argument(
            "settings",
            "File of settings: JSON with comments, or the machines' TOML; "
            f"by default the one that {PATH_VARIABLE} names.",
            optional=True,
        )
    ]
    help = "Exit codes: 0 stopped, 1 the settings have faults, 2 wrong usage."

    def handle(self):
        """Run the node."""
        from peridotcove.startup import start_node

        return start_node(self.argument("settings") or "", self._print_fault)

    def _print_fault(self, fault):
        self.line_error(f"<error>{fault}</error>")


class _Loader:
    """Imports a command's module only when the command is used."""

    def __init__(self, place):
        self._place = place

    def __call__(self):
        module, _, name = self._place.partition(":")
        return getattr(importlib.import_module(module), name)()


def make_application():
    """Return the application with all its commands."""
    from cleo.loaders.factory_command_loader import FactoryCommandLoader

    application = Application("peridotcove", __version__)
    factories = {name: _Loader(place) for name, place in COMMANDS.items()}
    factories["node"] = NodeCommand
    application.set_command_loader(FactoryCommandLoader(factories))
    return application
