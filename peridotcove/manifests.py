"""Metadata of a revision: its manifest, or why it was refused."""

from attrs import field, frozen


@frozen
class Manifest:
    """The parts of a revision, as published by the configuration service.

    Attributes
    ----------
    revision : int
        The revision.
    descriptor_by_name : dict of PartDescriptor
        Descriptors of all parts by name.
    data_by_name : dict of bytes
        Published content of the parts that were sent with the manifest.
    """

    revision: int
    descriptor_by_name: dict
    data_by_name: dict = field(factory=dict, repr=False)


@frozen
class RefusedRevision:
    """A revision that was refused because it is not valid.

    Attributes
    ----------
    revision : int
        The revision.
    faults : tuple of str
        Its faults, one line each.
    final : bool
        False if the content did not match the manifest; reading it again may
        succeed.
    """

    revision: int
    faults: tuple
    final: bool = True
