"""Commands that start the stand-ins."""

import asyncio

import attrs
from cleo.commands.command import Command
from cleo.helpers import argument, option

from peridotcove.json_files import read_json
from peridotcove.standins.demo_caller import DemoCaller
from peridotcove.standins.demo_report import Observer, render
from peridotcove.standins.engine import EngineOptions, EngineStandin
from peridotcove.standins.load_balancer import LoadBalancer, Node
from peridotcove.standins.platform import PlatformStandin
from peridotcove.standins.server import serve_until_stopped
from peridotcove.standins.service import ServiceStandin

PORT = option("port", None, "Port; 0 lets the system choose", flag=False, default="0")


def _engine_options():
    options = []
    for spec in attrs.fields(EngineOptions):
        name = spec.name.replace("_", "-")
        words = f"See EngineOptions.{spec.name}"
        if spec.type is bool:
            options.append(option(f"no-{name}", None, f"Turns off {name}"))
        else:
            default = str(spec.default)
            options.append(option(name, None, words, flag=False, default=default))
    return options


class StandinEngineCommand(Command):
    """Runs the stand-in for a model engine."""

    name = "standin engine"
    description = "Run a stand-in for a model engine"
    options = [PORT, *_engine_options()]

    def handle(self):
        """Run until the process gets SIGTERM or SIGINT."""
        values = {}
        for spec in attrs.fields(EngineOptions):
            name = spec.name.replace("_", "-")
            if spec.type is bool:
                values[spec.name] = not self.option(f"no-{name}")
            else:
                values[spec.name] = spec.type(self.option(name))
        standin = EngineStandin(EngineOptions(**values))
        asyncio.run(serve_until_stopped(standin, int(self.option("port"))))
        return 0


class StandinServiceCommand(Command):
    """Runs the stand-in for a plain service."""

    name = "standin service"
    description = "Run a stand-in for a plain service"
    options = [PORT, option("checks-keys", None, "Refuse a used Idempotency-Key")]

    def handle(self):
        """Run until the process gets SIGTERM or SIGINT."""
        standin = ServiceStandin(self.option("checks-keys"))
        asyncio.run(serve_until_stopped(standin, int(self.option("port"))))
        return 0


class StandinPlatformCommand(Command):
    """Runs the stand-in for the platform."""

    name = "standin platform"
    description = "Run a stand-in for the platform"
    options = [
        PORT,
        option("configuration", None, "JSON file with the configuration", flag=False),
        option("instances", None, "JSON file with a list of instances", flag=False),
    ]

    def handle(self):
        """Run until the process gets SIGTERM or SIGINT."""
        configuration = self.option("configuration")
        instances = self.option("instances")
        standin = PlatformStandin(
            read_json(configuration) if configuration else None,
            read_json(instances) if instances else [],
        )
        asyncio.run(serve_until_stopped(standin, int(self.option("port"))))
        return 0


class DemoCallerCommand(Command):
    """Calls the nodes of the demo and prints a table of results."""

    name = "demo-caller"
    description = "Hold chats and make bookings, then print the results"
    arguments = [argument("plan", "JSON file with the nodes and stand-ins.")]
    options = [
        option("seconds", None, "How long to call", flag=False, default="20"),
        option("seed", None, "Seed of texts and pauses", flag=False, default="1"),
    ]
    help = "Exit codes: 0 no guarantee violated, 1 some violated, 2 nodes not ready."

    def handle(self):
        """Run the caller; return 1 after a violation, 2 if nodes are not ready."""
        return asyncio.run(self._call())

    async def _call(self):
        plan = read_json(self.argument("plan"))
        balancer = LoadBalancer([Node(**item) for item in plan["nodes"]])
        try:
            await balancer.start()
        except TimeoutError as error:
            self.line_error(str(error))
            return 2
        observer = Observer(plan, balancer)
        caller = DemoCaller(plan, balancer, int(self.option("seed")))
        await observer.record_start()
        print("calling", flush=True)
        watch = asyncio.ensure_future(observer.sample_loads())
        await caller.run(float(self.option("seconds")))
        watch.cancel()
        report = await observer.make_report(caller.tally)
        print(render(plan["label"], report.rows))
        balancer.close()
        return 1 if report.violations else 0


COMMANDS = (
    StandinEngineCommand,
    StandinServiceCommand,
    StandinPlatformCommand,
    DemoCallerCommand,
)
