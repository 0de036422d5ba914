"""Tests of the ports that are opened before the rest of the program is imported."""

import pathlib
import socket
import tempfile
import unittest
from unittest import mock

from peridotcove.platform.early_ports import SETTINGS_PATH_VARIABLE, open_early_ports
from tests.platform.fakes import allocate_loopback_address

LISTEN = (
    '[listen]\nfront = "{host}:7101"\ncontrol = "{host}:7100"\nready = "{host}:7102"'
)


class EarlyPortsTest(unittest.TestCase):
    """What can be opened listens; faults are left to the reader of the settings."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / "node.toml"
        self.host = allocate_loopback_address()

    def open(self, text, file=None):
        self.file.write_text(text)
        environment = {SETTINGS_PATH_VARIABLE: str(file or self.file)}
        with mock.patch.dict("os.environ", environment):
            opened = open_early_ports()
        for listener in opened.values():
            self.addCleanup(listener.close)
        return opened

    def test_connections_are_queued_before_any_is_accepted(self):
        opened = self.open(LISTEN.format(host=self.host))
        self.assertEqual(set(opened), {(self.host, 7101), (self.host, 7100)})
        for address in opened:
            with socket.create_connection(address, timeout=5):
                pass

    def test_a_port_in_use_is_left_out(self):
        with socket.create_server((self.host, 7101)):
            opened = self.open(LISTEN.format(host=self.host))
        self.assertEqual(set(opened), {(self.host, 7100)})

    def test_faults_of_the_file_open_nothing(self):
        texts = ("", "[listen", "listen = 7", "[listen]\nfront = 7\ncontrol = ':x'")
        for text in (*texts, '[listen]\nfront = "127.0.0.1:99999"'):
            with self.subTest(text):
                self.assertEqual(self.open(text), {})
        self.assertEqual(self.open("", self.file.with_suffix(".json")), {})
        self.assertEqual(self.open("", self.file.with_name("none.toml")), {})
