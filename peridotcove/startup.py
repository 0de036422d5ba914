"""Starts a node from a file of settings."""

import asyncio
import os

from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.platform.settings import PATH_VARIABLE
from peridotcove.settings import read_node_settings

EXIT_OK = 0
EXIT_FAULTS = 1


def start_node(file, tell):
    """Run a node until it is told to stop, and return the exit code.

    Parameters
    ----------
    file : str
        Path of the settings; empty for the one that `PATH_VARIABLE` names.
    tell : callable
        Takes each `SettingError` of the file.
    """
    from peridotcove.node_lifecycle import run_node

    try:
        settings = read_node_settings(file or os.environ.get(PATH_VARIABLE, ""))
        settings.secret.read("secret")
    except InvalidSettings as faults:
        for fault in faults.exceptions:
            tell(fault)
        return EXIT_FAULTS
    except SettingError as fault:
        tell(fault)
        return EXIT_FAULTS
    asyncio.run(run_node(settings))
    return EXIT_OK
