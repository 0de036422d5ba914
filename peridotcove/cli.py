"""Command-line interface: a cleo application with all commands."""

import importlib

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument

from peridotcove import __version__
from peridotcove.platform.early_ports import SETTINGS_PATH_VARIABLE

EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2

COMMANDS = {
    "bench routing": "peridotcove.bench.routing_command:BenchRoutingCommand",
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
    description = "Run a node until it is stopped (SIGTERM drains it first)."
    arguments = [
        argument(
            "settings",
            "Settings file: JSON with comments, or the platform's TOML; defaults to "
            f"the path in the environment variable {SETTINGS_PATH_VARIABLE}.",
            optional=True,
        )
    ]
    help = "Exit codes: 0 stopped, 1 invalid settings, 2 wrong usage."

    def handle(self):
        """Run the node."""
        from peridotcove.startup import run_from_settings

        return run_from_settings(self.argument("settings") or "", self._print_fault)

    def _print_fault(self, fault):
        self.line_error(f"<error>{fault}</error>")


class _CommandFactory:
    """Creates a command; its module is imported only when the command is used."""

    def __init__(self, target):
        self._target = target

    def __call__(self):
        module, _, name = self._target.partition(":")
        return getattr(importlib.import_module(module), name)()


def make_application():
    """Return the application with all its commands."""
    from cleo.loaders.factory_command_loader import FactoryCommandLoader

    application = Application("peridotcove", __version__)
    factories = {name: _CommandFactory(target) for name, target in COMMANDS.items()}
    factories["node"] = NodeCommand
    application.set_command_loader(FactoryCommandLoader(factories))
    return application
