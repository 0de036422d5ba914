"""Tests that the documentation lists all settings and metrics, and of its links."""

import pathlib
import re
import unittest

import attrs

from peridotcove.metrics import Metrics
from peridotcove.settings import Settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
NESTED_CLASSES = {"Address", "Limits", "Platform", "Secret", "TlsFiles"}


def setting_names(cls, prefix=""):
    """Yield the key path of every setting of a class."""
    for spec in attrs.fields(cls):
        kind = spec.type if isinstance(spec.type, type) else spec.type.__args__[0]
        if kind.__name__ in NESTED_CLASSES:
            yield from setting_names(kind, f"{prefix}{spec.name}.")
        else:
            yield f"{prefix}{spec.name}"


class DocsTest(unittest.TestCase):
    """The documentation matches the code, and its links are valid."""

    def test_every_setting_is_on_its_page(self):
        page = (DOCS / "operators" / "settings.md").read_text("utf-8")
        for name in setting_names(Settings):
            with self.subTest(setting=name):
                self.assertIn(f"`{name}`", page)

    def test_every_metric_is_on_its_page(self):
        page = (DOCS / "operators" / "metrics.md").read_text("utf-8")
        for metric in Metrics().registry.collect():
            with self.subTest(metric=metric.name):
                self.assertIn(f"`{metric.name}`", page)

    def test_links_point_to_existing_files(self):
        for page in (*DOCS.rglob("*.md"), ROOT / "README.md"):
            for link in LINK.findall(page.read_text("utf-8")):
                with self.subTest(page=page.name, link=link):
                    self.assertTrue((page.parent / link).exists())
