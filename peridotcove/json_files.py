"""Reads files of JSON with comments."""

import pyjson5

from peridotcove.duplicate_keys import find_duplicate_keys
from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.text_files import read_text


def read_json(file):
    """Return the value of a file of JSON with comments.

    Parameters
    ----------
    file : str
        Path of the file.

    Raises
    ------
    InvalidSettings
        If the file can't be read, isn't JSON with comments, or has duplicate keys.
    """
    try:
        text = read_text(file, str(file))
        raw = pyjson5.decode(text)
        faults = list(find_duplicate_keys(text, str(file)))
    except SettingError as error:
        raise InvalidSettings(f"{file} is not valid", [error]) from None
    except pyjson5.Json5Exception as error:
        fault = SettingError(str(file), str(error), "JSON with comments")
        raise InvalidSettings(f"{file} is not valid", [fault]) from None
    if faults:
        raise InvalidSettings(f"{file} is not valid", faults)
    return raw
