"""Deltas from one revision to a later one, as sent between nodes."""

from peridotcove.configuration_parts import (
    ConfigurationPart,
    PartDescriptor,
    PartDiff,
    diff_part,
    digest,
    encode_canonical_json,
    parse_part,
    patch_part,
)
from peridotcove.exceptions import ProtocolError
from peridotcove.nodes.configuration_messages import Delta


def find_part_diffs(old, new):
    """Return the differences between the parts of two revisions by name of the part.

    Parameters
    ----------
    old, new : dict of ConfigurationPart
        Parts by name.
    """
    changes = {}
    for name in {**old, **new}:
        before, after = old.get(name), new.get(name)
        if before and after and before.descriptor.digest == after.descriptor.digest:
            continue
        changes[name] = diff_part(
            parse_part(before.data) if before else {},
            parse_part(after.data) if after else {},
        )
    return changes


def make_delta(base, old, revision, parts, changes):
    """Return the message that carries the changes between two revisions.

    Parameters
    ----------
    base, revision : int
        The two revisions.
    old, parts : dict of ConfigurationPart
        Parts of the two revisions by name.
    changes : dict of PartDiff
        Differences by name of the part.
    """
    rows = []
    for name, part in parts.items():
        before = old.get(name)
        if before is not None and before.descriptor == part.descriptor:
            continue
        change = changes.get(name, PartDiff({}, {}))
        descriptor = part.descriptor
        head = [
            name,
            descriptor.revision,
            descriptor.published_digest,
            descriptor.digest,
        ]
        rows.append([*head, change.changed, change.removed])
    gone = sorted(set(old) - set(parts))
    return Delta(base, revision, rows, gone)


def patch_parts(part_by_name, delta):
    """Return the parts after a delta is applied.

    Parameters
    ----------
    part_by_name : dict of ConfigurationPart
        Parts of the delta's base revision.
    delta : Delta
        The delta.

    Raises
    ------
    ProtocolError
        If a changed part does not have the digest given in the delta.
    """
    parts = dict(part_by_name)
    for name in delta.gone:
        parts.pop(name, None)
    for name, revision, published, wanted, changed, removed in delta.parts:
        old = parts.get(name)
        value = parse_part(old.data) if old is not None else {}
        data = encode_canonical_json(patch_part(value, PartDiff(changed, removed)))
        if digest(data) != wanted:
            raise ProtocolError(f"part {name} does not match the digest in the delta")
        parts[name] = ConfigurationPart(
            name, PartDescriptor(revision, published, wanted), data
        )
    return parts
