"""Verdict on a request: whether it may have run."""

import enum


class Verdict(enum.Enum):
    """Whether a request ran, may have run or did not run at an endpoint."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"
