"""Tests of the name of the build that a process runs."""

import pathlib
import shutil
import subprocess
import sys
import tempfile
import unittest

import peridotcove
from peridotcove.build import find_build

PACKAGE = pathlib.Path(peridotcove.__file__).parent
PRINT_BUILD = "from peridotcove.build import find_build; print(find_build())"


class FindBuildTest(unittest.TestCase):
    """Any change of the sources, and nothing else, changes the name of the build."""

    def read_copy(self, folder):
        command = [sys.executable, "-c", PRINT_BUILD]
        run = subprocess.run(
            command, cwd=folder, capture_output=True, text=True, check=True
        )
        return run.stdout.strip()

    def test_changed_sources_have_another_name(self):
        with tempfile.TemporaryDirectory() as folder:
            copy = pathlib.Path(folder, "peridotcove")
            shutil.copytree(PACKAGE, copy, ignore=shutil.ignore_patterns("__pycache__"))
            self.assertEqual(self.read_copy(folder), find_build())
            with (copy / "clock.py").open("a") as file:
                file.write("# One more line.\n")
            self.assertNotEqual(self.read_copy(folder), find_build())

    def test_the_name_begins_with_the_version(self):
        self.assertTrue(find_build().startswith(f"{peridotcove.__version__}+"))
