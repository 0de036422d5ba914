"""What is known of a revision beside its content."""

from attrs import frozen


@frozen
class Manifest:
    """What the service says of a revision.

    Attributes
    ----------
    revision : int
        The revision.
    pointer_by_name : dict of Pointer
        Parts by name.
    """

    revision: int
    pointer_by_name: dict


@frozen
class Refused:
    """A revision that is not valid.

    Attributes
    ----------
    revision : int
        The revision.
    faults : tuple of str
        Its faults, one line each.
    final : bool
        False if it could not be read as the manifest describes it, and may be yet.
    """

    revision: int
    faults: tuple
    final: bool = True
