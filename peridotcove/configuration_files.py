"""Reads and writes configurations as one file or as a folder of parts."""

import hashlib
import json
import pathlib

from attrs import frozen

from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.json_files import read_json
from peridotcove.part_splitting import (
    SECTIONS,
    format_compact_json,
    join_parts,
    split_into_parts,
)
from peridotcove.schema import build

MANIFEST_FILE = "manifest.json"


def format_configuration(raw):
    """Return a configuration as JSON text, with one object per line.

    Parameters
    ----------
    raw : dict
        The JSON value of a configuration.
    """
    lines = [f'"revision": {raw.get("revision", 0)}']
    if "bounds" in raw:
        lines.append(f'"bounds": {json.dumps(raw["bounds"], sort_keys=True)}')
    for section in SECTIONS:
        if raw.get(section):
            lines.append(f'"{section}": {_format_members(raw[section])}')
    return "{\n  " + ",\n  ".join(lines) + "\n}\n"


def _format_members(members):
    dumps = json.JSONEncoder(sort_keys=True).encode
    rows = (f"    {dumps(name)}: {dumps(members[name])}" for name in sorted(members))
    return "{\n" + ",\n".join(rows) + "\n  }"


def make_manifest(text_by_part, revision, previous=None):
    """Return the manifest that the configuration service publishes with the parts.

    Parameters
    ----------
    text_by_part : dict of str to str
        Content of each part by name.
    revision : int
        Revision of the configuration.
    previous : dict or None
        Manifest of the revision in force; unchanged parts keep their revision.
    """
    before = (previous or {}).get("parts", {})
    parts = {}
    for name, text in text_by_part.items():
        digest = hashlib.sha256(text.encode()).hexdigest()
        old = before.get(name, {})
        same = old.get("digest") == digest
        parts[name] = {
            "revision": old.get("revision", revision) if same else revision,
            "digest": digest,
        }
    return {"revision": revision, "parts": parts}


def write_parts(raw, folder):
    """Write the parts of a configuration, then the manifest; return the file names.

    Parameters
    ----------
    raw : dict
        The JSON value of a configuration.
    folder : str
        Folder for ``manifest.json`` and one file per part; files of parts that only
        an earlier revision in the folder had are removed.
    """
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    old = folder / MANIFEST_FILE
    previous = read_json(old) if old.exists() else None
    text_by_part = {
        name: format_compact_json(part) for name, part in split_into_parts(raw).items()
    }
    manifest = make_manifest(text_by_part, raw.get("revision", 0), previous)
    for name, text in text_by_part.items():
        (folder / f"{name}.json").write_text(text, encoding="utf-8")
    old.write_text(format_compact_json(manifest), encoding="utf-8")
    for name in (previous or {}).get("parts", {}):
        if name not in text_by_part:
            (folder / f"{name}.json").unlink(missing_ok=True)
    return sorted([MANIFEST_FILE, *(f"{name}.json" for name in text_by_part)])


def read_configuration_json(path):
    """Return the JSON value of a configuration.

    Parameters
    ----------
    path : str
        A file with the whole configuration, or a folder of parts and their manifest.

    Raises
    ------
    InvalidSettings
        If a file can't be read, a part is missing or does not match the manifest, or
        the parts do not make up a configuration.
    """
    path = pathlib.Path(path)
    if not path.is_dir():
        return read_json(path)
    manifest = build(_Manifest, read_json(path / MANIFEST_FILE), str(path))
    part_by_name = {}
    faults = []
    for name, entry in sorted(manifest.parts.items()):
        file = path / f"{name}.json"
        try:
            part_by_name[name] = read_json(file)
        except InvalidSettings as error:
            faults.extend(error.exceptions)
            continue
        found = hashlib.sha256(file.read_bytes()).hexdigest()
        if found != entry.digest:
            faults.append(SettingError(str(file), found, f"digest {entry.digest}"))
    if faults:
        raise InvalidSettings(f"{path} is not valid", faults)
    return join_parts(part_by_name, manifest.revision)


@frozen
class _ManifestEntry:
    revision: int
    digest: str


@frozen
class _Manifest:
    revision: int
    parts: dict[str, _ManifestEntry]
