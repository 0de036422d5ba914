"""Tests of the command-line interface."""

import contextlib
import io
import tempfile
import unittest

from cleo.testers.application_tester import ApplicationTester

from peridotcove.cli import COMMANDS, EXIT_FAULTS, make_application


class CommandLineTest(unittest.TestCase):
    """Each command can be loaded, and invalid settings are reported."""

    def test_every_command_loads_under_its_name(self):
        application = make_application()
        for name in [*COMMANDS, "node"]:
            with self.subTest(name=name):
                command = application.find(name)
                self.assertEqual(command.name, name)
                self.assertTrue(command.description)

    def test_node_reports_all_faults_of_settings(self):
        with tempfile.NamedTemporaryFile("w", suffix=".jsonc") as file:
            file.write('{"node": 1, "zone": "a", /* x */ "colour": "red"}')
            file.flush()
            tester = ApplicationTester(make_application())
            with contextlib.redirect_stderr(io.StringIO()):
                code = tester.execute(f"node {file.name}")
            text = tester.io.fetch_error()
        self.assertEqual(code, EXIT_FAULTS)
        for place in ("node: found 1", "colour", "region", "secret", "platform"):
            self.assertIn(place, text)
