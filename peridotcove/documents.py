"""Reads and writes configurations as files: the whole in one, or a folder of parts."""

import json
import pathlib

from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.fragments import KINDS, compact, cut, join
from peridotcove.settings import read_json

REVISION_FILE = "revision.json"


def format_whole(raw):
    """Return the whole configuration as JSON text, one object a line.

    Parameters
    ----------
    raw : dict
        The JSON value of a configuration.
    """
    lines = [f'"revision": {raw.get("revision", 0)}']
    if "bounds" in raw:
        lines.append(f'"bounds": {json.dumps(raw["bounds"], sort_keys=True)}')
    for kind in KINDS:
        if raw.get(kind):
            lines.append(f'"{kind}": {_format_members(raw[kind])}')
    return "{\n  " + ",\n  ".join(lines) + "\n}\n"


def _format_members(members):
    dumps = json.JSONEncoder(sort_keys=True).encode
    rows = (f"    {dumps(name)}: {dumps(members[name])}" for name in sorted(members))
    return "{\n" + ",\n".join(rows) + "\n  }"


def write_parts(raw, folder):
    """Write the parts of a configuration and return their file names.

    Parameters
    ----------
    raw : dict
        The JSON value of a configuration.
    folder : str
        Folder for ``revision.json`` and one file a part; files of parts that are no
        more are removed.
    """
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    text_by_file = {f"{name}.json": compact(part) for name, part in cut(raw).items()}
    text_by_file[REVISION_FILE] = compact({"revision": raw.get("revision", 0)})
    for old in folder.glob("*.json"):
        if old.name not in text_by_file and _is_part(old.stem):
            old.unlink()
    for name, text in text_by_file.items():
        (folder / name).write_text(text, encoding="utf-8")
    return sorted(text_by_file)


def _is_part(stem):
    kind, _, bits = stem.partition("-")
    return kind in KINDS and not bits.strip("01")


def read_whole(path):
    """Return the JSON value of a configuration.

    Parameters
    ----------
    path : str
        A file that holds the whole, or a folder of parts.

    Raises
    ------
    InvalidSettings
        If a file can't be read, or the parts make no whole.
    """
    path = pathlib.Path(path)
    if not path.is_dir():
        return read_json(path)
    part_by_name = {
        file.stem: read_json(file)
        for file in sorted(path.glob("*.json"))
        if file.name != REVISION_FILE
    }
    head = read_json(path / REVISION_FILE)
    revision = head.get("revision") if isinstance(head, dict) else None
    if not isinstance(revision, int):
        fault = SettingError(str(path / REVISION_FILE), head, '{"revision": NUMBER}')
        raise InvalidSettings(f"{path} is not valid", [fault])
    return join(part_by_name, revision)
