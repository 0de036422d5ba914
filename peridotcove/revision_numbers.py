"""Revision numbers of a service whose content may come back from an older backup.

Such a service counts on from the backup's revision, so that a count alone does not tell
which content is newer. A revision number orders by the operator's version first, then
by the epoch of the service, which rises with each such return, then by its count.
"""

# Above each whole number that JSON carries exactly.
COUNT_LIMIT = 10**16
EPOCH_LIMIT = 10**6


def make_revision_number(version, epoch, count):
    """Return the revision number of a service's content.

    Its decimal digits are those of the version, which has no limit, six of the epoch
    and sixteen of the count.

    Parameters
    ----------
    version : int
        Version of the operator's document.
    epoch : int
        Number of the service's epoch.
    count : int
        Revision that the service gives within the epoch.

    Raises
    ------
    ValueError
        If a part is negative or too large.
    """
    if version < 0 or not 0 <= epoch < EPOCH_LIMIT or not 0 <= count < COUNT_LIMIT:
        text = (
            f"revision {count} of epoch {epoch} with version {version} is out of range"
        )
        raise ValueError(text)
    return (version * EPOCH_LIMIT + epoch) * COUNT_LIMIT + count


def get_version(revision):
    """Return the version of the operator's document of a revision number.

    Parameters
    ----------
    revision : int
        The revision number; 0 for a plain count.
    """
    return revision // COUNT_LIMIT // EPOCH_LIMIT


def get_epoch(revision):
    """Return the epoch of a revision number; 0 for a plain count.

    Parameters
    ----------
    revision : int
        The revision number.
    """
    return revision // COUNT_LIMIT % EPOCH_LIMIT


def get_count(revision):
    """Return the revision within its epoch of a revision number.

    Parameters
    ----------
    revision : int
        The revision number.
    """
    return revision % COUNT_LIMIT
