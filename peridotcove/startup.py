"""Starts a node from a settings file."""

import asyncio
import os

from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.platform.early_ports import SETTINGS_PATH_VARIABLE
from peridotcove.settings import read_node_settings

EXIT_OK = 0
EXIT_FAULTS = 1


def run_from_settings(file, report_error, early_sockets=None):
    """Run a node until a signal stops it, and return the exit code.

    Parameters
    ----------
    file : str
        Path of the settings file; if empty, it is read from the environment variable
        named by `SETTINGS_PATH_VARIABLE`.
    report_error : callable
        Called with each `SettingError` found in the file.
    early_sockets : dict of socket.socket or None
        Sockets that listen already, by ``(host, port)``.

    Returns
    -------
    int
        `EXIT_OK` after a normal stop, `EXIT_FAULTS` if the settings are invalid.
    """
    from peridotcove.node_lifecycle import run_node

    try:
        settings = read_node_settings(
            file or os.environ.get(SETTINGS_PATH_VARIABLE, "")
        )
        settings.secret.read("secret")
    except InvalidSettings as faults:
        for fault in faults.exceptions:
            report_error(fault)
        return EXIT_FAULTS
    except SettingError as fault:
        report_error(fault)
        return EXIT_FAULTS
    asyncio.run(run_node(settings, early_sockets))
    return EXIT_OK
