"""Entry point of the one-file program: imports C extensions from the archive.

Each shared library is copied into an in-memory file (``memfd_create``) and loaded from
``/proc/self/fd``, which needs no disk and no other process. The archive's
``libraries.json`` names, for each extension, the libraries that must be loaded before
it, in order.
"""

import ctypes
import importlib.machinery
import importlib.util
import json
import os
import sys
import zipfile

ARCHIVE = sys.path[0]
INDEX = "libraries.json"


class MemoryImporter:
    """Import finder for C extensions in the archive.

    Parameters
    ----------
    archive : zipfile.ZipFile
        The program's own file.
    """

    def __init__(self, archive):
        self._archive = archive
        self._loaded = set()
        index = json.loads(archive.read(INDEX))
        self._extension_by_module = index["extensions"]
        self._libraries_by_module = index["libraries"]

    def find_spec(self, fullname, path=None, target=None):
        """Return the spec of an extension in the archive, or None.

        Parameters
        ----------
        fullname : str
            Dotted name of the module.
        path : object
            Not used.
        target : object
            Not used.
        """
        member = self._extension_by_module.get(fullname)
        if member is None:
            return None
        for library in self._libraries_by_module.get(fullname, ()):
            self._preload(library)
        memory_path = self._copy_to_memory(member)
        loader = importlib.machinery.ExtensionFileLoader(fullname, memory_path)
        return importlib.util.spec_from_file_location(
            fullname, memory_path, loader=loader
        )

    def _preload(self, library):
        if library not in self._loaded:
            self._loaded.add(library)
            ctypes.CDLL(self._copy_to_memory(library), ctypes.RTLD_GLOBAL)

    def _copy_to_memory(self, member):
        # The descriptor stays open: the loader identifies a library by its path, which
        # must not be reused for another library.
        descriptor = os.memfd_create(os.path.basename(member), os.MFD_CLOEXEC)
        with open(descriptor, "wb", closefd=False) as file:
            file.write(self._archive.read(member))
        return f"/proc/self/fd/{descriptor}"


def main():
    """Run the program."""
    sys.meta_path.insert(0, MemoryImporter(zipfile.ZipFile(ARCHIVE)))
    from peridotcove.__main__ import main as run

    sys.argv[0] = "peridotcove"
    run()


if __name__ == "__main__":
    main()
