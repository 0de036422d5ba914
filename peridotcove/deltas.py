"""Changes from one revision to the next, as nodes send them."""

from peridotcove.configuration_parts import (
    Change,
    Part,
    PartDescriptor,
    diff,
    digest,
    encode_canonical_json,
    load,
    patch,
)
from peridotcove.exceptions import ProtocolError
from peridotcove.nodes.configuration_messages import Delta


def find_changes(old, new):
    """Return the changes between the parts of two revisions, by name of the part.

    Parameters
    ----------
    old, new : dict of Part
        Parts by name.
    """
    changes = {}
    for name in {**old, **new}:
        before, after = old.get(name), new.get(name)
        if before and after and before.pointer.digest == after.pointer.digest:
            continue
        changes[name] = diff(
            load(before.data) if before else {}, load(after.data) if after else {}
        )
    return changes


def make_delta(base, old, revision, parts, changes):
    """Return the message that carries a change.

    Parameters
    ----------
    base, revision : int
        The two revisions.
    old, parts : dict of Part
        Parts of the two revisions by name.
    changes : dict of Change
        Changes by name of the part.
    """
    rows = []
    for name, part in parts.items():
        before = old.get(name)
        if before is not None and before.pointer == part.pointer:
            continue
        change = changes.get(name, Change({}, {}))
        pointer = part.pointer
        head = [name, pointer.revision, pointer.published_digest, pointer.digest]
        rows.append([*head, change.changed, change.dropped])
    gone = sorted(set(old) - set(parts))
    return Delta(base, revision, rows, gone)


def patch_parts(part_by_name, delta):
    """Return the parts after a change.

    Parameters
    ----------
    part_by_name : dict of Part
        Parts of the revision that the change is from.
    delta : Delta
        The change.

    Raises
    ------
    ProtocolError
        If a part would not have the digest that the change names.
    """
    parts = dict(part_by_name)
    for name in delta.gone:
        parts.pop(name, None)
    for name, revision, published, wanted, changed, dropped in delta.parts:
        old = parts.get(name)
        value = load(old.data) if old is not None else {}
        data = encode_canonical_json(patch(value, Change(changed, dropped)))
        if digest(data) != wanted:
            raise ProtocolError(f"part {name} would have another digest")
        parts[name] = Part(name, PartDescriptor(revision, published, wanted), data)
    return parts
