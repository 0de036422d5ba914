"""Tests of what a process imports and reports before its node runs.

Callers wait while a node starts. A node of one interface must not pay for others.
"""

import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).parent.parent
LIST_MODULES = """
import sys
import peridotcove.node_lifecycle
from peridotcove.interfaces import load_interface
load_interface("{interface}")
print(*sys.modules)
"""
LIST_MODULES_AT_OPENING = """
import sys
import peridotcove.platform.early_ports as early_ports
from peridotcove.__main__ import main

def stop():
    print(*sys.modules)
    sys.exit(0)

early_ports.open_early_ports = stop
sys.argv = ["peridotcove", "node"]
main()
"""
# Parts of the other interface, of the command line, and of its measurements.
NATIVE_MODULES = (
    "peridotcove.chat_router",
    "peridotcove.callers.handlers",
    "peridotcove.continuation",
    "peridotcove.endpoints.order_client",
    "peridotcove.ledger",
    "peridotcove.orders",
    "peridotcove.rate_limits",
    "peridotcove.service_router",
    "peridotcove.ticket_authority",
)
COMMAND_LINE_MODULES = ("cleo", "peridotcove.cli", "peridotcove.bench", "hdrh")
# Libraries that only other interfaces, or pages that are rarely read, need.
LAZY_LIBRARIES = ("pyjson5", "tornado.web")


def list_modules(interface):
    """Return the names of the modules that a node of an interface imports."""
    return run_script(LIST_MODULES.format(interface=interface))


def run_script(script):
    """Run a script in a process of its own and return the words that it prints."""
    run = subprocess.run(
        [sys.executable, "-c", script],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return set(run.stdout.split())


class ImportsTest(unittest.TestCase):
    """A node imports what its interface needs, and nothing else."""

    def test_a_platform_node_imports_no_other_interface(self):
        modules = list_modules("platform")
        self.assertIn("peridotcove.forwarding", modules)
        unneeded = NATIVE_MODULES + COMMAND_LINE_MODULES + LAZY_LIBRARIES
        self.assertEqual([one for one in unneeded if one in modules], [])

    def test_a_native_node_imports_its_parts_at_start(self):
        modules = list_modules("own")
        self.assertEqual([one for one in NATIVE_MODULES if one not in modules], [])
        self.assertNotIn("peridotcove.platform.interface", modules)

    def test_ports_are_opened_before_the_libraries_are_imported(self):
        """Clients that come during the imports wait in a queue and are not refused."""
        modules = run_script(LIST_MODULES_AT_OPENING)
        self.assertIn("peridotcove.platform.early_ports", modules)
        slow = ("asyncio", "attrs", "tornado", "peridotcove.node")
        self.assertEqual([one for one in slow if one in modules], [])
