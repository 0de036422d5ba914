"""Routers for very many chats that return after pauses.

The operators' library is re-exported here; the rest of the package is the program.
"""

import importlib

__version__ = "0.1.0"

_MODULE_BY_NAME = {
    "Description": "peridotcove.api",
    "InvalidSettings": "peridotcove.exceptions",
    "PeridotcoveError": "peridotcove.exceptions",
    "ServiceDescription": "peridotcove.api",
    "SettingError": "peridotcove.exceptions",
    "describe": "peridotcove.api",
}

__all__ = [
    "Description",
    "InvalidSettings",
    "PeridotcoveError",
    "ServiceDescription",
    "SettingError",
    "describe",
]


def __getattr__(name):
    # A node needs none of the library, which takes a quarter of a second to import.
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_NAME[name]), name)
