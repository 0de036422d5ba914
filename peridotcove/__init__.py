"""A fleet of request routers between callers and LLM engines or plain services.

This module re-exports the operators' library; the other modules form the program.
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
    # Imported on first use: the import of the library takes a quarter of a second, and
    # a node does not need it.
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_NAME[name]), name)
