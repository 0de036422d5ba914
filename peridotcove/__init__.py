"""Routers for very many chats that return after pauses.

The operators' library is re-exported here; the rest of the package is the program.
"""

from peridotcove.api import Description, ServiceDescription, describe
from peridotcove.exceptions import InvalidSettings, PeridotcoveError, SettingError

__version__ = "0.1.0"

__all__ = [
    "Description",
    "InvalidSettings",
    "PeridotcoveError",
    "ServiceDescription",
    "SettingError",
    "describe",
]
