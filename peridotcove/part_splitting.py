"""Splits a configuration into small parts that rarely change.

Each part is a subset of the configuration's JSON object; the union of all parts and the
revision make up the whole. The hash of an object's name alone selects its part, and a
part is split in two when it exceeds its size limit, so a change of one object changes
only one small part.
"""

import json

import xxhash

from peridotcove.exceptions import InvalidSettings, SettingError

PART_BYTES = 16_384
MAX_PART_BYTES = 1_000_000
SECTIONS = ("zones", "models", "engines", "services", "customers", "host_routes")
HASH_BITS = 32


def format_compact_json(raw):
    """Return JSON text without whitespace and with sorted keys.

    Parameters
    ----------
    raw : object
        A JSON value.
    """
    return json.dumps(raw, separators=(",", ":"), sort_keys=True, ensure_ascii=False)


def split_into_parts(raw, part_bytes=PART_BYTES):
    """Return the parts of a configuration by name.

    A part is named ``"bounds"``, or after a section followed by the first bits of the
    hashes of its objects' names, such as ``"customers-0110"``.

    Parameters
    ----------
    raw : dict
        The JSON value of a configuration.
    part_bytes : int
        Size in bytes above which a part is split.

    Raises
    ------
    InvalidSettings
        If a single object exceeds the size limit of the service for a part.
    """
    part_by_name = {"bounds": {"bounds": raw.get("bounds", {})}}
    faults = []
    for section in SECTIONS:
        members = [_Member(name, item) for name, item in raw.get(section, {}).items()]
        for member in members:
            if member.size > MAX_PART_BYTES:
                allowed = f"{MAX_PART_BYTES} bytes or less"
                found = f"{member.size} bytes"
                faults.append(SettingError(f"{section}.{member.name}", found, allowed))
        for bits, group in _split_members(members, "", part_bytes):
            name = f"{section}-{bits}" if bits else section
            part_by_name[name] = {section: {item.name: item.raw for item in group}}
    if faults:
        raise InvalidSettings("the configuration can't be split into parts", faults)
    return part_by_name


class _Member:
    """An object, its size in bytes and the hash of its name as a string of bits."""

    __slots__ = ("bits", "name", "raw", "size")

    def __init__(self, name, raw):
        self.name = name
        self.raw = raw
        self.size = (
            len(format_compact_json(name)) + len(format_compact_json(raw).encode()) + 2
        )
        self.bits = format(xxhash.xxh32_intdigest(name.encode()), f"0{HASH_BITS}b")


def _split_members(members, bits, part_bytes):
    if not members:
        return
    fits = sum(member.size for member in members) <= part_bytes
    if fits or len(members) == 1 or len(bits) == HASH_BITS:
        yield bits, members
        return
    for bit in "01":
        longer_bits = bits + bit
        chosen = [item for item in members if item.bits[len(bits)] == bit]
        yield from _split_members(chosen, longer_bits, part_bytes)


def join_parts(part_by_name, revision):
    """Return the JSON value of a configuration merged from its parts.

    Parameters
    ----------
    part_by_name : dict of str to dict
        The parts.
    revision : int
        Revision of the configuration.

    Raises
    ------
    InvalidSettings
        If a part is malformed, or two parts contain the same object.
    """
    whole = {"revision": revision}
    faults = []
    for part, fragment in sorted(part_by_name.items()):
        if not isinstance(fragment, dict):
            faults.append(SettingError(part, fragment, "an object"))
            continue
        for section, value in fragment.items():
            if section == "bounds" and section not in whole:
                whole[section] = value
            elif section in SECTIONS and isinstance(value, dict):
                _add_members(whole, section, value, part, faults)
            else:
                found = summarize_value(value)
                allowed = "objects of one of " + ", ".join(SECTIONS)
                faults.append(SettingError(f"{part}.{section}", found, allowed))
    if faults:
        raise InvalidSettings("the parts do not make up a configuration", faults)
    return whole


def summarize_value(value):
    """Return a value to show in an error message: the type of an object or list.

    Parameters
    ----------
    value : object
        A JSON value.
    """
    return type(value).__name__ if isinstance(value, (dict, list)) else value


def _add_members(whole, section, value, part, faults):
    members = whole.setdefault(section, {})
    for name, item in value.items():
        if name in members:
            location = f"{part}.{section}.{name}"
            faults.append(SettingError(location, name, "each name in one part"))
        members[name] = item
