"""Parts of the configuration: their digests, and changes entry by entry."""

import hashlib
import json

from attrs import field, frozen

from peridotcove.exceptions import ProtocolError
from peridotcove.part_splitting import format_compact_json

DIGEST_BYTES = 16


@frozen
class PartDescriptor:
    """Names the content of a part.

    Attributes
    ----------
    revision : int
        Revision of the configuration that changed the part last.
    published : bytes
        Start of the SHA-256 digest of the part as the service publishes it.
    digest : bytes
        Start of the SHA-256 digest of its canonical form; empty when not known.
    """

    revision: int
    published_digest: bytes
    digest: bytes = b""


@frozen
class Part:
    """A part of the configuration with its content.

    Attributes
    ----------
    name : str
        Name of the part.
    pointer : Pointer
        Names the content.
    data : bytes
        Canonical JSON.
    """

    name: str
    pointer: PartDescriptor
    data: bytes = field(repr=False)


@frozen
class Change:
    """Entries of one part that differ between two contents.

    Attributes
    ----------
    changed : dict
        New and changed entries by section.
    dropped : dict
        Keys of the entries that are no more, by section.
    """

    changed: dict
    dropped: dict


def encode_canonical_json(value):
    """Return the canonical JSON of a value as bytes.

    Parameters
    ----------
    value : object
        A JSON value.
    """
    return format_compact_json(value).encode("utf-8", "surrogatepass")


def digest(data):
    """Return the digest by which parts are compared.

    Parameters
    ----------
    data : bytes
        Content of a part.
    """
    return hashlib.sha256(data).digest()[:DIGEST_BYTES]


def load(data):
    """Return the value of a part's content.

    Parameters
    ----------
    data : bytes
        JSON.

    Raises
    ------
    ProtocolError
        If it is no JSON object of JSON objects.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ProtocolError(f"is no JSON: {error}") from None
    if not isinstance(value, dict):
        raise ProtocolError("is no object")
    for section, entries in value.items():
        if not isinstance(entries, dict):
            raise ProtocolError(f"section {section!r} is no object")
    return value


def make_part(name, revision, published, data):
    """Return a part made from what the service publishes.

    Parameters
    ----------
    name : str
        Name of the part.
    revision : int
        Revision that changed it last.
    published : bytes
        Start of the digest in the manifest.
    data : bytes
        Published content.

    Raises
    ------
    ProtocolError
        If the content is no part.
    """
    form = encode_canonical_json(load(data))
    return Part(name, PartDescriptor(revision, published, digest(form)), form)


def diff(old, new):
    """Return the change between two values of a part.

    Parameters
    ----------
    old, new : dict
        Entries by section.
    """
    changed, dropped = {}, {}
    for section, entries in new.items():
        before = old.get(section)
        fresh = {
            key: entry
            for key, entry in entries.items()
            if before is None or key not in before or before[key] != entry
        }
        if fresh or before is None or (before and not entries):
            changed[section] = fresh
        gone = [key for key in before or () if key not in entries]
        if gone:
            dropped[section] = gone
    for section in old:
        if section not in new:
            dropped[section] = list(old[section])
    return Change(changed, dropped)


def patch(old, change):
    """Return the value of a part after a change.

    Parameters
    ----------
    old : dict
        Entries by section.
    change : Change
        The change; a section of which nothing is left goes, unless it is set.
    """
    new = {section: dict(entries) for section, entries in old.items()}
    for section, keys in change.dropped.items():
        for key in keys:
            new.get(section, {}).pop(key, None)
        if not new.get(section):
            new.pop(section, None)
    for section, entries in change.changed.items():
        new.setdefault(section, {}).update(entries)
    return new
