"""Reads text files that operators write."""

import pathlib

from peridotcove.exceptions import SettingError


def read_text(file, path):
    """Return the text of a file.

    Parameters
    ----------
    file : str
        Path of the file.
    path : str
        Key path of the setting that names the file, or the file itself, for the error.

    Raises
    ------
    SettingError
        If the file can't be read as UTF-8 text.
    """
    try:
        return pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingError(path, str(error), "a readable file of UTF-8 text") from None
