"""Every exception of the package; all derive from `PeridotcoveError`.

An error that ends a request carries a verdict: whether the request may have run.
"""

from peridotcove.verdict import Verdict

MAX_SHOWN_CHARS = 120


class PeridotcoveError(Exception):
    """Base of all errors of the package."""


class SettingError(PeridotcoveError):
    """One setting is wrong.

    Parameters
    ----------
    path : str
        Place of the setting: file name and key path, or the name of an object.
    found : object
        What stands there.
    allowed : str
        What may stand there.
    """

    def __init__(self, path, found, allowed):
        shown = repr(found)
        if len(shown) > MAX_SHOWN_CHARS:
            shown = shown[:MAX_SHOWN_CHARS] + "..."
        super().__init__(f"{path}: found {shown}, allowed: {allowed}")
        self.path = path
        self.found = found
        self.allowed = allowed


class InvalidSettings(ExceptionGroup, PeridotcoveError):
    """All faults of one file or description, each a `SettingError`."""

    def derive(self, excs):
        """Return a group of the same type.

        Parameters
        ----------
        excs : sequence of Exception
            The faults of the new group.
        """
        return InvalidSettings(self.message, excs)


class ProtocolError(PeridotcoveError):
    """A peer sent something malformed, oversized or not allowed."""


class UnauthorizedPeer(ProtocolError):
    """A peer could not prove that it knows the shared secret."""


class LinkDown(PeridotcoveError):
    """A message could not be handed to a peer; nothing was sent."""


class PlatformDown(PeridotcoveError):
    """The platform did not answer, or not as agreed."""


class RequestError(PeridotcoveError):
    """A request ends without an answer from its endpoint.

    Parameters
    ----------
    code : str
        Short name of the reason, such as ``"overloaded"``.
    message : str
        One sentence for the caller.
    status : int
        HTTP status towards the caller.
    verdict : Verdict
        Whether the request may have run.
    retry_after_ms : int or None
        Time in ms after which another try is worthwhile.
    """

    def __init__(
        self, code, message, status, verdict=Verdict.NOT_RUN, retry_after_ms=None
    ):
        super().__init__(message)
        self.code = code
        self.message = message
        self.status = status
        self.verdict = verdict
        self.retry_after_ms = retry_after_ms


class RequestRefused(RequestError):
    """The request was refused and did not run."""

    def __init__(self, code, message, status=503, retry_after_ms=None):
        super().__init__(code, message, status, Verdict.NOT_RUN, retry_after_ms)


class EndpointFailed(RequestError):
    """An endpoint failed before, during or after it ran the request."""

    def __init__(self, code, message, verdict, status=502):
        super().__init__(code, message, status, verdict)


class TicketRefused(RequestError):
    """The process that decides about a ticket did not run the request, or can't tell.

    Parameters
    ----------
    code, message : str
        As of `RequestError`.
    status : int
        HTTP status towards the caller.
    verdict : Verdict
        Whether the request may have run.
    ticket : str
        Ticket for another try, or empty.
    """

    def __init__(self, code, message, status, verdict, ticket=""):
        super().__init__(code, message, status, verdict)
        self.ticket = ticket
