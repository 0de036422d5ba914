"""Cuts a configuration into parts that stay small and rarely change.

Each part is a fragment of the configuration's JSON object; their union, with the
revision, is the whole. An object's part follows from the hash of its name alone, and a
part splits in two when it grows past its size, so that the change of one object changes
one small part.
"""

import json

import xxhash

from peridotcove.exceptions import InvalidSettings, SettingError

PART_BYTES = 16_384
MAX_PART_BYTES = 1_000_000
KINDS = ("zones", "models", "engines", "services", "customers", "host_routes")
HASH_BITS = 32


def format_compact_json(raw):
    """Return JSON text without spaces, with sorted names.

    Parameters
    ----------
    raw : object
        A JSON value.
    """
    return json.dumps(raw, separators=(",", ":"), sort_keys=True, ensure_ascii=False)


def split_into_parts(raw, part_bytes=PART_BYTES):
    """Return the parts of a configuration by name.

    A part is ``"bounds"``, or a kind of object followed by the first bits of the hashes
    of its objects' names, such as ``"customers-0110"``.

    Parameters
    ----------
    raw : dict
        The JSON value of a configuration.
    part_bytes : int
        Size in bytes past which a part splits.

    Raises
    ------
    InvalidSettings
        If one object alone is larger than a value of the service may be.
    """
    part_by_name = {"bounds": {"bounds": raw.get("bounds", {})}}
    faults = []
    for kind in KINDS:
        members = [_Member(name, item) for name, item in raw.get(kind, {}).items()]
        for member in members:
            if member.size > MAX_PART_BYTES:
                allowed = f"{MAX_PART_BYTES} bytes or less"
                found = f"{member.size} bytes"
                faults.append(SettingError(f"{kind}.{member.name}", found, allowed))
        for bits, group in _split(members, "", part_bytes):
            name = f"{kind}-{bits}" if bits else kind
            part_by_name[name] = {kind: {item.name: item.raw for item in group}}
    if faults:
        raise InvalidSettings("the configuration can't be cut", faults)
    return part_by_name


class _Member:
    """One object, its size in bytes and the hash of its name as bits."""

    __slots__ = ("bits", "name", "raw", "size")

    def __init__(self, name, raw):
        self.name = name
        self.raw = raw
        self.size = (
            len(format_compact_json(name)) + len(format_compact_json(raw).encode()) + 2
        )
        self.bits = format(xxhash.xxh32_intdigest(name.encode()), f"0{HASH_BITS}b")


def _split(members, bits, part_bytes):
    if not members:
        return
    small = sum(member.size for member in members) <= part_bytes
    if small or len(members) == 1 or len(bits) == HASH_BITS:
        yield bits, members
        return
    for bit in "01":
        deeper = bits + bit
        chosen = [item for item in members if item.bits[len(bits)] == bit]
        yield from _split(chosen, deeper, part_bytes)


def join_parts(part_by_name, revision):
    """Return the JSON value of the configuration that parts make up.

    Parameters
    ----------
    part_by_name : dict of str to dict
        The parts.
    revision : int
        Revision of the whole.

    Raises
    ------
    InvalidSettings
        If a part is no fragment, or two parts hold the same object.
    """
    whole = {"revision": revision}
    faults = []
    for part, fragment in sorted(part_by_name.items()):
        if not isinstance(fragment, dict):
            faults.append(SettingError(part, fragment, "an object"))
            continue
        for kind, value in fragment.items():
            if kind == "bounds" and kind not in whole:
                whole[kind] = value
            elif kind in KINDS and isinstance(value, dict):
                _join_members(whole, kind, value, part, faults)
            else:
                found = reduce_found(value)
                allowed = "objects of one of " + ", ".join(KINDS)
                faults.append(SettingError(f"{part}.{kind}", found, allowed))
    if faults:
        raise InvalidSettings("the parts make no configuration", faults)
    return whole


def reduce_found(value):
    """Return a value for an error message: its type when it is an object or list.

    Parameters
    ----------
    value : object
        A JSON value.
    """
    return type(value).__name__ if isinstance(value, (dict, list)) else value


def _join_members(whole, kind, value, part, faults):
    members = whole.setdefault(kind, {})
    for name, item in value.items():
        if name in members:
            place = f"{part}.{kind}.{name}"
            faults.append(SettingError(place, name, "each name in one part"))
        members[name] = item
