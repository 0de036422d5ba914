"""Whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """Whether a request may have run at an endpoint."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"
