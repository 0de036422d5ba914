"""Names the build of the program that this process runs."""

import functools
import glob
import hashlib
import os

import peridotcove

PACKAGE_FOLDER = os.path.dirname(os.path.abspath(__file__))
DIGEST_CHARS = 10


@functools.cache
def find_build():
    """Return the version of the package and a digest of its sources.

    Builds of the same version differ in their digest. The one-file program has no
    sources beside it, and is named by its version alone.
    """
    digest = hashlib.sha256()
    names = sorted(glob.glob("**/*.py", root_dir=PACKAGE_FOLDER, recursive=True))
    for name in names:
        digest.update(name.encode())
        with open(os.path.join(PACKAGE_FOLDER, name), "rb") as file:
            digest.update(file.read())
    suffix = f"+{digest.hexdigest()[:DIGEST_CHARS]}" if names else ""
    return f"{peridotcove.__version__}{suffix}"
