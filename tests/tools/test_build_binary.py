"""Tests of `tools/build_binary.py`."""

import importlib.machinery
import importlib.util
import pathlib
import platform
import unittest

import pycurl
from hypothesis import given
from hypothesis import strategies as st

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
spec = importlib.util.spec_from_file_location(
    "build_binary", ROOT / "tools" / "build_binary.py"
)
build_binary = importlib.util.module_from_spec(spec)
spec.loader.exec_module(build_binary)


@st.composite
def graphs(draw):
    """Return libraries that need only libraries with a smaller number."""
    count = draw(st.integers(1, 8))
    return {
        f"lib{i}": [f"lib{x}" for x in draw(st.sets(st.integers(0, i - 1)))]
        if i
        else []
        for i in range(count)
    }


class TestBuild(unittest.TestCase):
    """Dependencies are read from real files, and libraries are ordered by them."""

    @given(graphs(), st.data())
    def test_each_library_follows_what_it_needs(self, graph, data):
        wanted = data.draw(st.lists(st.sampled_from(sorted(graph)), min_size=1))
        ordered = build_binary.order_libraries(graph, [*wanted, "libc.so.6"])
        self.assertEqual(len(set(ordered)), len(ordered))
        self.assertLessEqual(set(wanted), set(ordered))
        for name in ordered:
            earlier = ordered[: ordered.index(name)]
            self.assertLessEqual(set(graph[name]), set(earlier))

    def test_dependencies_of_an_extension_are_read(self):
        folder = pathlib.Path(pycurl.__file__).parent
        extension = next(
            path
            for path in [folder, *folder.glob("*.so")]
            if path.name.endswith(".so") and "pycurl" in path.name
        )
        needed = build_binary.read_needed(extension.read_bytes())
        self.assertTrue(any(name.startswith("libcurl") for name in needed), needed)

    # The test named the suffix of one kind of machine and failed on others.
    def test_module_names(self):
        own, *_ = importlib.machinery.EXTENSION_SUFFIXES
        self.assertIn(platform.machine(), own)
        cases = {
            f"a/_b{own}": "a._b",
            "a/b.abi3.so": "a.b",
            "a.libs/libc-1.so.4.8": None,
            "a/b.py": None,
        }
        for path, name in cases.items():
            with self.subTest(path):
                found = build_binary.module_name(pathlib.PurePosixPath(path))
                self.assertEqual(found, name)
