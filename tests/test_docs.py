"""Tests that the documentation names what exists, lists all settings and metrics."""

import functools
import importlib
import pathlib
import pkgutil
import re
import unittest

import attrs

import peridotcove
import tests
from peridotcove.api import describe
from peridotcove.cli import COMMANDS, NodeCommand, make_application
from peridotcove.metrics import Metrics
from peridotcove.models import Bounds
from peridotcove.settings import Settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
PACKAGE = ROOT / "peridotcove"
PAGES = (*sorted(DOCS.rglob("*.md")), ROOT / "README.md")
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
NESTED_CLASSES = {"Address", "Limits", "Machine", "Platform", "Secret", "TlsFiles"}

FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
INDENTED = re.compile(r"^    .*$", re.MULTILINE)
SPAN = re.compile(r"`([^`]+)`")
# Words in capitals in a path stand for any name, as in `tests/test_MODULE.py`.
PLACEHOLDER = re.compile(r"[A-Z]{2,}")
SOURCE_PATH = re.compile(r"(?<![\w/.*-])((?:[\w*.-]+/)*[\w*]+\.py)\b")
FOLDER_PATH = re.compile(r"^(?:[\w-]+/)+[\w-]*$")
TEST_NAME = re.compile(r"(?<![\w/.])(?:[a-z]\w*\.)*test_\w+(?:\.\w+)*(?!\w*\.py)")
# A short name that a page defines, and a test named after a short name or a module.
SHORT_NAME = re.compile(r"\*([a-z ]+)\*\s+`([\w.]+)`")
OWNED_TEST = re.compile(r"((?:\w+ )?\w+) `(test_\w+)`")
PACKAGE_NAME = re.compile(r"(?<![\w/.-])(?:peridotcove|tests)(?:\.[A-Za-z_]\w*)+")
DOTTED_NAME = re.compile(r"^([A-Za-z_]\w*)\.([A-Za-z_]\w*)\b")
CLASS_NAME = re.compile(r"^[A-Z][a-z]+(?:[A-Z][a-z]+)*$")
CONSTANT = re.compile(r"^_?[A-Z]+(?:_[A-Z]+)+\b")
COMMAND_START = re.compile(
    r"^(?:(?:\S*/)?python\S* -m peridotcove|(?:\S*/)?peridotcove)(?= |$)"
)
FILE_NAME = re.compile(r"\S+\.(?:py|md|json|jsonc|toml|txt)\b")
# Names that look like names of the code: settings of the users' platform, the place in
# an error, what a build makes, an environment variable and a library.
OTHER_NAMES = {
    "description.engines",
    "dist/peridotcove",
    "target/deps",
    "PERIDOTCOVE_NODE_FILE",
    "Requests",
    "bounds.budget_extra",
    "bounds.budget_ratio",
    "bounds.cap_x",
    "bounds.grace_s",
    "listen.control",
    "listen.front",
    "listen.ready",
    "limits.max_fds",
    "limits.ram_mb",
    "provider.addr",
}


def setting_names(cls, prefix=""):
    """Yield the key path of every setting of a class."""
    for spec in attrs.fields(cls):
        kind = spec.type if isinstance(spec.type, type) else spec.type.__args__[0]
        if kind.__name__ in NESTED_CLASSES:
            yield from setting_names(kind, f"{prefix}{spec.name}.")
        else:
            yield f"{prefix}{spec.name}"


def code_of(text):
    """Yield the code of a page: spans, and the lines of indented and fenced blocks."""
    for block in FENCE.findall(text):
        yield from block.splitlines()[1:-1]
    text = FENCE.sub("", text)
    yield from (line.strip() for line in INDENTED.findall(text))
    for span in SPAN.findall(INDENTED.sub("", text)):
        yield " ".join(span.split())


def shell_commands(code):
    """Yield the simple commands of a line of code, without comments."""
    code = re.sub(r"(^|\s)#.*", "", code)
    for command in re.split(r"&&|\|\||[;|]", code):
        yield re.sub(r"^\s*(?:[A-Z_]+=\S+\s+)*", "", command).strip()


def list_modules(package):
    """Return the dotted names of a package's modules and packages."""
    walked = pkgutil.walk_packages(package.__path__, f"{package.__name__}.")
    names = (module.name for module in walked)
    return [name for name in names if not name.endswith("__main__")]


@functools.cache
def load_test_modules():
    """Return the modules of tests by name."""
    return {name: importlib.import_module(name) for name in list_modules(tests)}


@functools.cache
def load_test_methods():
    """Return the names of all methods and functions that are tests."""
    return {
        method
        for module in load_test_modules().values()
        for cls in vars(module).values()
        if isinstance(cls, type) and issubclass(cls, unittest.TestCase)
        for method in dir(cls)
        if method.startswith("test_")
    }


@functools.cache
def load_package_modules():
    """Return the modules of the package by name."""
    return {name: importlib.import_module(name) for name in list_modules(peridotcove)}


@functools.cache
def load_package_classes():
    """Return the classes of the package, all those of one name together."""
    classes = {}
    for module in load_package_modules().values():
        for name, value in vars(module).items():
            if isinstance(value, type):
                classes.setdefault(name, []).append(value)
    return classes


def load_all_modules():
    """Return the modules of the package and of the tests by name."""
    return {**load_package_modules(), **load_test_modules()}


def has_path(base, parts):
    """Return whether an object has an attribute of an attribute, and so on."""
    for part in parts:
        if not hasattr(base, part) and part not in field_names(base):
            return False
        base = getattr(base, part, None)
    return True


def field_names(cls):
    """Return the names of the fields of an attrs class, or nothing."""
    return [spec.name for spec in getattr(cls, "__attrs_attrs__", ())]


def is_test(name):
    """Return whether a name is a test module, a class or test in it, or a test."""
    parts = name.removeprefix("tests.").split(".")
    for module_name, module in load_test_modules().items():
        path = module_name.split(".")
        for count in range(1, len(parts) + 1):
            matches = path[-count:] == parts[:count]
            if matches and has_path(module, parts[count:]):
                return True
    return len(parts) == 1 and parts[0] in load_test_methods()


def is_dotted_name(owner, name):
    """Return whether a class, a module or a part of the configuration has a name."""
    if f"{owner}.{name}" in setting_names(Settings):
        return True
    if owner == "bounds":
        return name in field_names(Bounds)
    if owner == "fleet":
        return hasattr(describe(), name)
    places = list(load_package_classes().get(owner, ()))
    for path, module in load_all_modules().items():
        if path.split(".")[-1] == owner:
            places.append(module)
        if owner.isupper() and hasattr(module, owner):
            places.append(getattr(module, owner))
    return any(has_path(place, [name]) for place in places)


def has_file(path):
    """Return whether a path exists, from the root or from a folder of the package."""
    pattern = PLACEHOLDER.sub("*", path).rstrip("/")
    return any(any(base.glob(pattern)) for base in (ROOT, PACKAGE))


def owns_test(owner, name):
    """Return whether a test is in a class, or in one of the classes of a module."""
    if is_test(f"{owner}.{name}"):
        return True
    path = owner.removeprefix("tests.").split(".")
    return any(
        name in vars(cls)
        for module_name, module in load_test_modules().items()
        if module_name.split(".")[-len(path) :] == path
        for cls in vars(module).values()
        if isinstance(cls, type) and issubclass(cls, unittest.TestCase)
    )


def is_importable(name):
    """Return whether a full dotted name is a module or something in one."""
    try:
        pkgutil.resolve_name(name)
    except (ImportError, AttributeError):
        return False
    return True


def is_code_name(name):
    """Return whether a class, a constant or an attribute exists."""
    dotted = DOTTED_NAME.match(name)
    if dotted:
        return is_test(name) or is_dotted_name(*dotted.groups())
    return any(hasattr(module, name) for module in load_all_modules().values())


def find_paths(code):
    """Return the paths of modules and folders in a piece of code."""
    is_folder = FOLDER_PATH.match(code) and code not in OTHER_NAMES
    return [*SOURCE_PATH.findall(code), *([code] if is_folder else [])]


def find_package_names(code):
    """Return the full dotted names in a piece of code, without tests."""
    return [name for name in PACKAGE_NAME.findall(code) if "test_" not in name]


def find_code_names(code):
    """Return the name of a class, a constant or an attribute that a span names."""
    if "/" in code or FILE_NAME.match(code) or PACKAGE_NAME.match(code):
        return []
    if CLASS_NAME.match(code):
        return [code] if code not in OTHER_NAMES else []
    found = DOTTED_NAME.match(code) or CONSTANT.match(code)
    return [found[0]] if found and found[0] not in OTHER_NAMES else []


def find_make_targets(code):
    """Return the targets of the calls of make in a piece of code."""
    calls = [command.split() for command in shell_commands(code)]
    calls = [words[1:] for words in calls if words[:1] == ["make"]]
    return [word for words in calls for word in words if "=" not in word]


def find_commands(code):
    """Return the calls of the program in a piece of code."""
    starts = [(line, COMMAND_START.match(line)) for line in shell_commands(code)]
    return [f"peridotcove{line[start.end() :]}" for line, start in starts if start]


def find_command_faults(application, line):
    """Return the words of a call that name no command, or no option of it."""
    words = line.replace("'", "").split()[1:]
    options = {spec.name for spec in application.definition.options}
    plain = [word for word in words if not word.startswith(("-", "["))]
    if plain:
        name = " ".join(plain[:2])
        if name not in COMMANDS:
            name = plain[0]
        if plain[1:] == ["..."]:
            return [] if any(key.startswith(f"{name} ") for key in COMMANDS) else plain
        if name not in {*COMMANDS, NodeCommand.name}:
            return plain[:2]
        options |= {spec.name for spec in application.find(name).definition.options}
    named = {word: re.match(r"\[?--([\w-]+)", word) for word in words}
    return [word for word, match in named.items() if match and match[1] not in options]


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
        for page in PAGES:
            for link in LINK.findall(page.read_text("utf-8")):
                with self.subTest(page=page.name, link=link):
                    self.assertTrue((page.parent / link).exists())


class NamesTest(unittest.TestCase):
    """What a page names exists: modules, tests, other code, targets and commands."""

    def check(self, find_names, exists, minimum):
        """Assert that all names that a function finds in the pages' code exist."""
        missing, count = [], 0
        for page in PAGES:
            text = page.read_text("utf-8")
            names = {name: None for code in code_of(text) for name in find_names(code)}
            count += len(names)
            place = page.relative_to(ROOT)
            missing += [f"{place}: {name}" for name in names if not exists(name)]
        self.assertEqual(missing, [])
        self.assertGreaterEqual(count, minimum)

    def test_paths_of_modules_and_folders(self):
        self.check(find_paths, has_file, 150)

    def test_tests(self):
        missing = []
        for page in PAGES:
            names = TEST_NAME.findall(page.read_text("utf-8"))
            place = page.relative_to(ROOT)
            missing += [f"{place}: {name}" for name in names if not is_test(name)]
        self.assertEqual(missing, [])

    def test_tests_belong_to_the_named_class_or_module(self):
        promises = (DOCS / "PROMISES.md").read_text("utf-8")
        owner_by_short = {
            short: owner.partition(".test_")[0] if owner.count(".") > 1 else owner
            for short, owner in SHORT_NAME.findall(promises)
        }
        missing, count = [], 0
        for page in PAGES:
            for words, name in OWNED_TEST.findall(page.read_text("utf-8")):
                last = words.split()[-1]
                owner = owner_by_short.get(words, owner_by_short.get(last, last))
                if owner.startswith("test_") or "." in owner:
                    count += 1
                    if not owns_test(owner, name):
                        missing.append(f"{page.name}: {owner} {name}")
        self.assertEqual(missing, [])
        self.assertGreaterEqual(count, 20)

    def test_names_of_the_package(self):
        self.check(find_package_names, is_importable, 3)

    def test_names_of_classes_constants_and_attributes(self):
        self.check(find_code_names, is_code_name, 40)

    def test_make_targets(self):
        makefile = (ROOT / "Makefile").read_text("utf-8")
        targets = re.findall(r"^([a-z][\w-]*):", makefile, re.MULTILINE)
        self.check(find_make_targets, set(targets).__contains__, 10)

    def test_commands_and_their_options(self):
        application = make_application()

        def find_faults(line):
            return find_command_faults(application, line)

        self.check(find_commands, lambda line: not find_faults(line), 30)


class ChecksTest(unittest.TestCase):
    """The checks of names reject names that do not exist."""

    def test_unknown_names_are_found(self):
        for exists, good, bad in (
            (has_file, "node.py", "nodes.py"),
            (has_file, "nodes/*messages.py", "nodes/*letters.py"),
            (has_file, "tests/test_MODULE.py", "tests/MODULE_test.py"),
            (is_test, "test_docs.DocsTest", "test_docs.PagesTest"),
            (is_test, "test_unknown_names_are_found", "test_unknown_names"),
            (
                functools.partial(owns_test, "test_docs"),
                "test_every_metric_is_on_its_page",
                "test_machine",
            ),
            (is_test, "endpoints.test_service_client", "nodes.test_service_client"),
            (is_importable, "peridotcove.verdict.Verdict", "peridotcove.verdict.Ok"),
            (is_code_name, "limits.drain_ms", "limits.drain_s"),
            (is_code_name, "Route.repeatable", "Route.repeated"),
            (is_code_name, "Registry", "Register"),
            (is_code_name, "SHARD_ENGINES", "SHARD_MOTORS"),
        ):
            with self.subTest(good=good, bad=bad):
                self.assertTrue(exists(good))
                self.assertFalse(exists(bad))

    def test_unknown_commands_and_options_are_found(self):
        application = make_application()
        for line, is_valid in (
            ("peridotcove trace LOG... --request ID", True),
            ("peridotcove trace LOG... --requests ID", False),
            ("peridotcove bench ...", True),
            ("peridotcove bench nothing", False),
            ("peridotcove follow LOG", False),
            ("peridotcove --help", True),
        ):
            with self.subTest(line=line):
                faults = find_command_faults(application, line)
                self.assertEqual(not faults, is_valid)
