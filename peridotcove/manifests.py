"""What is known of a revision beside its content."""

from attrs import field, frozen


@frozen
class Manifest:
    """What the service says of a revision.

    Attributes
    ----------
    revision : int
        The revision.
    descriptor_by_name : dict of Pointer
        Parts by name.
    data_by_name : dict of bytes
        Published content of parts that came with it.
    """

    revision: int
    descriptor_by_name: dict
    data_by_name: dict = field(factory=dict, repr=False)


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
