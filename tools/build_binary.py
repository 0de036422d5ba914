"""Builds the one-file program from the package and the installed libraries.

Usage: ``python tools/build_binary.py dist/peridotcove``. The file needs Python 3.11
and the C library, and runs without a disk; see docs/design/binary.md.
"""

import importlib.machinery
import json
import pathlib
import py_compile
import struct
import sys
import sysconfig
import tempfile
import zipfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
SHEBANG = b"#!/usr/bin/env python3.11\n"
PACKAGES = (
    "attr",
    "attrs",
    "cattr",
    "cattrs",
    "cbor2",
    "cleo",
    "crashtest",
    "curl",
    "hdrh",
    "pbr",
    "prometheus_client",
    "pycurl",
    "pyjson5",
    "pythonjsonlogger",
    "rapidfuzz",
    "tornado",
    "websockets",
    "xxhash",
)
MODULES = ("typing_extensions.py",)
EXCLUDED_NAMES = ("test", "tests", "__pycache__")
EXTENSION_SUFFIXES = importlib.machinery.EXTENSION_SUFFIXES
PT_LOAD, PT_DYNAMIC = 1, 2
DT_NULL, DT_NEEDED, DT_STRTAB = 0, 1, 5


def read_needed(raw):
    """Return the names of the libraries that a 64-bit ELF file needs.

    Parameters
    ----------
    raw : bytes
        The file.
    """
    start, size, count = struct.unpack_from("<Q14xHH", raw, 32)
    program_headers = [
        struct.unpack_from("<IIQQQQ", raw, start + i * size) for i in range(count)
    ]
    segments = [
        (header[3], header[2], header[5])
        for header in program_headers
        if header[0] == PT_LOAD
    ]
    dynamic = next(header[2] for header in program_headers if header[0] == PT_DYNAMIC)
    needed, strings = [], 0
    while True:
        tag, value = struct.unpack_from("<QQ", raw, dynamic)
        dynamic += 16
        if tag == DT_NULL:
            break
        if tag == DT_NEEDED:
            needed.append(value)
        elif tag == DT_STRTAB:
            strings = next(
                value - address + offset
                for address, offset, length in segments
                if address <= value < address + length
            )
    return [raw[strings + x : raw.index(b"\0", strings + x)].decode() for x in needed]


def order_libraries(needed_by_name, wanted):
    """Return bundled libraries in an order in which they can be loaded.

    Parameters
    ----------
    needed_by_name : dict
        Names of the libraries that each bundled library needs, by its name.
    wanted : list of str
        Names of the libraries that the extension needs.
    """
    ordered = []

    def visit(name):
        if name in needed_by_name and name not in ordered:
            for other in needed_by_name[name]:
                visit(other)
            ordered.append(name)

    for name in wanted:
        visit(name)
    return ordered


def module_name(member):
    """Return the dotted name of an extension, or None for another file.

    Parameters
    ----------
    member : pathlib.PurePath
        Path of the file below the libraries.
    """
    for suffix in EXTENSION_SUFFIXES:
        if member.name.endswith(suffix):
            stem = member.name.removesuffix(suffix)
            return ".".join([*member.parts[:-1], stem])
    return None


def list_files(site):
    """Yield every file of the program with its path in the archive.

    Parameters
    ----------
    site : pathlib.Path
        Folder of installed libraries.
    """
    sources = [(ROOT, "peridotcove"), *((site, name) for name in PACKAGES)]
    sources += [(site, f"{name}.libs") for name in PACKAGES]
    for base, name in sources:
        for path in sorted((base / name).rglob("*")):
            member = path.relative_to(base)
            if path.is_file() and not set(member.parts) & set(EXCLUDED_NAMES):
                yield path, member
    extras = [site / name for name in MODULES] + sorted(site.glob("*.so"))
    for path in extras:
        if path.exists():
            yield path, path.relative_to(site)


def index_extensions(site, members):
    """Return the index of shared libraries that `binary_main` reads.

    Parameters
    ----------
    site : pathlib.Path
        Folder of installed libraries.
    members : list of pathlib.PurePath
        Files in the archive.
    """
    bundled = {x.name: x for x in members if x.parts[0].endswith(".libs")}
    needed = {name: read_needed((site / x).read_bytes()) for name, x in bundled.items()}
    extensions, libraries = {}, {}
    for member in members:
        name = module_name(member)
        if name is None or member.name in bundled:
            continue
        extensions[name] = str(member)
        wanted = read_needed((site / member).read_bytes())
        ordered = order_libraries(needed, wanted)
        if ordered:
            libraries[name] = [str(bundled[x]) for x in ordered]
    return {"extensions": extensions, "libraries": libraries}


def compile_source(path, member, scratch):
    """Return the compiled bytes of a source file.

    Parameters
    ----------
    path : pathlib.Path
        The source.
    member : pathlib.PurePath
        Its path in the archive, for tracebacks.
    scratch : pathlib.Path
        File to write to.
    """
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    py_compile.compile(
        str(path), str(scratch), str(member), doraise=True, invalidation_mode=mode
    )
    return scratch.read_bytes()


def build(target):
    """Write the program to a file.

    Parameters
    ----------
    target : pathlib.Path
        The file.
    """
    site = pathlib.Path(sysconfig.get_paths()["platlib"])
    files = list(list_files(site))
    index = index_extensions(site, [member for _, member in files])
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder, target.open("wb") as out:
        out.write(SHEBANG)
        scratch = pathlib.Path(folder) / "module.pyc"
        with zipfile.ZipFile(
            out, "w", zipfile.ZIP_DEFLATED, compresslevel=6
        ) as archive:
            main = ROOT / "tools" / "binary_main.py"
            archive.write(main, "__main__.py")
            archive.writestr("libraries.json", json.dumps(index, indent=1))
            for path, member in files:
                if member.suffix == ".py":
                    raw = compile_source(path, member, scratch)
                    archive.writestr(str(member.with_suffix(".pyc")), raw)
                elif ".so" in member.suffixes:
                    archive.write(path, str(member))
    target.chmod(0o755)


if __name__ == "__main__":
    build(pathlib.Path(sys.argv[1]))
    print(f"{sys.argv[1]}: {pathlib.Path(sys.argv[1]).stat().st_size} bytes")
