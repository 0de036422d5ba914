"""Parts of the configuration, their digests and the differences between them."""

import hashlib

from attrs import field, frozen

from peridotcove.exceptions import ProtocolError
from peridotcove.json_values import decode_json
from peridotcove.part_splitting import format_compact_json

DIGEST_BYTES = 16


@frozen
class PartDescriptor:
    """Identifies the content of a part by revision and digests.

    Attributes
    ----------
    revision : int
        Revision of the configuration that last changed the part.
    published_digest : bytes
        Truncated SHA-256 digest of the part as published by the service.
    digest : bytes
        Truncated SHA-256 digest of its canonical form; empty if unknown.
    """

    revision: int
    published_digest: bytes
    digest: bytes = b""


@frozen
class ConfigurationPart:
    """A part of the configuration and its content.

    Attributes
    ----------
    name : str
        Name of the part.
    descriptor : PartDescriptor
        Identifies the content.
    data : bytes
        Canonical JSON.
    """

    name: str
    descriptor: PartDescriptor
    data: bytes = field(repr=False)


@frozen
class PartDiff:
    """Difference between two values of a part.

    Attributes
    ----------
    changed : dict
        New and changed entries by section.
    removed : dict
        Keys of removed entries by section.
    """

    changed: dict
    removed: dict


def encode_canonical_json(value):
    """Return a value encoded as canonical JSON.

    Parameters
    ----------
    value : object
        A JSON value.
    """
    return format_compact_json(value).encode("utf-8", "surrogatepass")


def digest(data):
    """Return the truncated SHA-256 digest by which parts are compared.

    Parameters
    ----------
    data : bytes
        Content of a part.
    """
    return hashlib.sha256(data).digest()[:DIGEST_BYTES]


def parse_part(data):
    """Return the JSON value of a part's content.

    Parameters
    ----------
    data : bytes
        JSON.

    Raises
    ------
    ProtocolError
        If it is not a JSON object of JSON objects.
    """
    try:
        value = decode_json(data)
    except ValueError as error:
        raise ProtocolError(f"is not valid JSON: {error}") from None
    if not isinstance(value, dict):
        raise ProtocolError("is not a JSON object")
    for section, entries in value.items():
        if not isinstance(entries, dict):
            raise ProtocolError(f"section {section!r} is not a JSON object")
    return value


def make_part(name, revision, published_digest, data):
    """Return a part made from the content that the service publishes.

    Parameters
    ----------
    name : str
        Name of the part.
    revision : int
        Revision that last changed it.
    published_digest : bytes
        Truncated digest from the manifest.
    data : bytes
        Published content.

    Raises
    ------
    ProtocolError
        If the content is not a JSON object of JSON objects.
    """
    canonical_data = encode_canonical_json(parse_part(data))
    return ConfigurationPart(
        name,
        PartDescriptor(revision, published_digest, digest(canonical_data)),
        canonical_data,
    )


def diff_part(old, new):
    """Return the difference between two values of a part.

    Parameters
    ----------
    old, new : dict
        Entries by section.
    """
    changed, removed = {}, {}
    for section, entries in new.items():
        before = old.get(section)
        fresh = {
            key: entry
            for key, entry in entries.items()
            if before is None or key not in before or before[key] != entry
        }
        if fresh or before is None or (before and not entries):
            changed[section] = fresh
        removed_keys = [key for key in before or () if key not in entries]
        if removed_keys:
            removed[section] = removed_keys
    for section in old:
        if section not in new:
            removed[section] = list(old[section])
    return PartDiff(changed, removed)


def patch_part(old, change):
    """Return the value of a part after a difference is applied.

    Parameters
    ----------
    old : dict
        Entries by section.
    change : PartDiff
        The difference; a section left without entries is removed, unless the
        difference sets it.
    """
    new = {section: dict(entries) for section, entries in old.items()}
    for section, keys in change.removed.items():
        for key in keys:
            new.get(section, {}).pop(key, None)
        if not new.get(section):
            new.pop(section, None)
    for section, entries in change.changed.items():
        new.setdefault(section, {}).update(entries)
    return new
