"""Messages that distribute the configuration between nodes."""

from attrs import frozen

from peridotcove.nodes.messages import message


@message(23)
@frozen
class AskConfiguration:
    """Requests the changes since a revision; answered by `Delta` or `Offer`.

    Attributes
    ----------
    base : int
        Revision that the sender holds; 0 always gets an `Offer`.
    """

    base: int


@message(24)
@frozen
class Delta:
    """Changes from one revision to a later one.

    Attributes
    ----------
    base, revision : int
        Revision before and after the changes.
    parts : list
        For each changed part: name, revision, published digest, digest, entries set
        and entries removed, both by section.
    gone : list
        Names of removed parts.
    """

    base: int
    revision: int
    parts: list
    gone: list


@message(25)
@frozen
class Offer:
    """Lists the parts of the sender's revision.

    Attributes
    ----------
    revision : int
        Revision of the sender; 0 if it has none.
    parts : list
        For each part: name, revision, published digest and digest.
    """

    revision: int
    parts: list


@message(26)
@frozen
class AskPart:
    """Requests a complete part.

    Attributes
    ----------
    name : str
        Name of the part.
    digest : bytes
        Digest of the requested content.
    """

    name: str
    digest: bytes


@message(27)
@frozen
class PartData:
    """Content of a complete part.

    Attributes
    ----------
    name : str
        Name of the part.
    digest : bytes
        Digest of its content.
    data : bytes
        Content; empty if the sender does not have it.
    """

    name: str
    digest: bytes
    data: bytes


@message(28)
@frozen
class RevisionRefused:
    """Reports that the sender refused a revision as invalid.

    Attributes
    ----------
    revision : int
        Refused revision.
    faults : list
        Faults of the revision, one line each.
    final : bool
        False if the content did not match the manifest, so that a later read may
        still succeed.
    """

    revision: int
    faults: list
    final: bool = True


@message(29)
@frozen
class AskRefused:
    """Requests the faults of a refused revision; answered by `RevisionRefused`.

    Attributes
    ----------
    revision : int
        Refused revision.
    """

    revision: int
