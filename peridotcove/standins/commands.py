"""Commands that start the stand-ins."""

import asyncio

import attrs
from cleo.commands.command import Command
from cleo.helpers import argument, option

from peridotcove.settings import read_json
from peridotcove.standins.demo_caller import Caller
from peridotcove.standins.demo_report import Observer, render
from peridotcove.standins.engine import EngineOptions, EngineStandin
from peridotcove.standins.load_balancer import Balancer, Node
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
    """Runs a model engine's stand-in."""

    name = "standin engine"
    description = "Run a stand-in for a model engine"
    options = [PORT, *_engine_options()]

    def handle(self):
        """Run until the process is told to end."""
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
    """Runs a plain service's stand-in."""

    name = "standin service"
    description = "Run a stand-in for a plain service"
    options = [PORT, option("checks-keys", None, "Refuse a used Idempotency-Key")]

    def handle(self):
        """Run until the process is told to end."""
        standin = ServiceStandin(self.option("checks-keys"))
        asyncio.run(serve_until_stopped(standin, int(self.option("port"))))
        return 0


class StandinPlatformCommand(Command):
    """Runs the platform's stand-in."""

    name = "standin platform"
    description = "Run a stand-in for the platform"
    options = [
        PORT,
        option("configuration", None, "JSON file with the configuration", flag=False),
        option("instances", None, "JSON file with a list of instances", flag=False),
    ]

    def handle(self):
        """Run until the process is told to end."""
        configuration = self.option("configuration")
        instances = self.option("instances")
        standin = PlatformStandin(
            read_json(configuration) if configuration else None,
            read_json(instances) if instances else [],
        )
        asyncio.run(serve_until_stopped(standin, int(self.option("port"))))
        return 0


class DemoCallerCommand(Command):
    """Calls the nodes of the demo and prints a table."""

    name = "demo-caller"
    description = "Hold chats and make bookings, then print what came of them"
    arguments = [argument("plan", "JSON file with the nodes and stand-ins.")]
    options = [
        option("seconds", None, "How long to call", flag=False, default="20"),
        option("seed", None, "Seed of texts and pauses", flag=False, default="1"),
    ]
    help = "Exit codes: 0 all promises held, 1 one was broken, 2 nodes not ready."

    def handle(self):
        """Call, and return 1 if a promise was broken."""
        return asyncio.run(self._call())

    async def _call(self):
        plan = read_json(self.argument("plan"))
        balancer = Balancer([Node(**item) for item in plan["nodes"]])
        try:
            await balancer.start()
        except TimeoutError as error:
            self.line_error(str(error))
            return 2
        observer = Observer(plan, balancer)
        caller = Caller(plan, balancer, int(self.option("seed")))
        await observer.begin()
        print("calling", flush=True)
        watch = asyncio.ensure_future(observer.watch())
        await caller.run(float(self.option("seconds")))
        watch.cancel()
        report = await observer.end(caller.tally)
        print(render(plan["label"], report.rows))
        balancer.close()
        return 1 if report.faults else 0


COMMANDS = (
    StandinEngineCommand,
    StandinServiceCommand,
    StandinPlatformCommand,
    DemoCallerCommand,
)
