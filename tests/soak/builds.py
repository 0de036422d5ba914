"""Builds of earlier commits, read from the repository's history."""

import compileall
import io
import pathlib
import subprocess
import sys
import tarfile

from tests.soak.processes import ROOT, Build

LOCK = "requirements/run.lock"
RELEASE_FILE = pathlib.Path(__file__).with_name("release_commit.txt")


class BuildUnavailable(Exception):
    """A commit can't be read, or its libraries can't be installed."""


def read_release_commit():
    """Return the commit of the last release, with which this build must work."""
    return RELEASE_FILE.read_text(encoding="utf-8").strip()


def extract_build(commit, folder):
    """Return the `Build` of a commit, with the libraries of its own lock file.

    Parameters
    ----------
    commit : str
        Name of the commit.
    folder : pathlib.Path
        Folder in which the build is made.

    Raises
    ------
    BuildUnavailable
        If git, the commit or a library is not available.
    """
    archive = _run("git", "-C", str(ROOT), "archive", commit, "peridotcove", LOCK)
    target = folder / commit
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(target, filter="data")
    compileall.compile_dir(target / "peridotcove", quiet=1)
    lock = target / LOCK
    if lock.read_bytes() == (ROOT / LOCK).read_bytes():
        return Build(target)
    libraries = str(target / "libraries")
    pip = (sys.executable, "-m", "pip", "install", "--quiet", "--target")
    _run(*pip, libraries, "-r", str(lock))
    return Build(target, {"PYTHONPATH": libraries})


def _run(*command):
    try:
        run = subprocess.run(command, capture_output=True, check=True)
    except FileNotFoundError as error:
        raise BuildUnavailable(f"{command[0]} is not installed: {error}") from None
    except subprocess.CalledProcessError as error:
        text = error.stderr.decode(errors="replace").strip()
        raise BuildUnavailable(
            f"{' '.join(command)!r} failed; an earlier build needs a clone with the "
            f"whole history: {text}"
        ) from None
    return run.stdout
