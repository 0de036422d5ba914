"""Messages by which nodes pass the configuration on."""

from attrs import frozen

from peridotcove.nodes.messages import message


@message(23)
@frozen
class AskConfiguration:
    """Asks for what is newer than a revision; answered by `Delta` or `Offer`.

    Attributes
    ----------
    base : int
        Revision that the sender holds; 0 asks for an `Offer` in any case.
    """

    base: int


@message(24)
@frozen
class Delta:
    """The changes from one revision to a later one.

    Attributes
    ----------
    base, revision : int
        The two revisions.
    parts : list
        For each changed part: name, revision, published digest, digest, entries set
        and entries dropped, both by section.
    gone : list
        Names of parts that are no more.
    """

    base: int
    revision: int
    parts: list
    gone: list


@message(25)
@frozen
class Offer:
    """The parts of the sender's revision.

    Attributes
    ----------
    revision : int
        The revision; 0 if the sender has none.
    parts : list
        For each part: name, revision, published digest and digest.
    """

    revision: int
    parts: list


@message(26)
@frozen
class AskPart:
    """Asks for a whole part.

    Attributes
    ----------
    name : str
        Name of the part.
    digest : bytes
        Digest of the wanted content.
    """

    name: str
    digest: bytes


@message(27)
@frozen
class PartData:
    """A whole part.

    Attributes
    ----------
    name : str
        Name of the part.
    digest : bytes
        Digest of its content.
    data : bytes
        The content; empty if the sender does not hold it.
    """

    name: str
    digest: bytes
    data: bytes


@message(28)
@frozen
class RevisionRefused:
    """Tells that a revision is not valid.

    Attributes
    ----------
    revision : int
        The revision.
    faults : list
        Its faults, one line each.
    final : bool
        False if it could not be read as the manifest describes it, and may be yet.
    """

    revision: int
    faults: list
    final: bool = True


@message(29)
@frozen
class AskRefused:
    """Asks why a revision was refused; answered by `RevisionRefused`.

    Attributes
    ----------
    revision : int
        The revision.
    """

    revision: int
