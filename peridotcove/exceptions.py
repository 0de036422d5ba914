"""Exceptions of the package; all derive from `PeridotcoveError`.

An error that ends a request has a verdict, which states whether the request may have
run.
"""

from peridotcove.verdict import Verdict

MAX_SHOWN_CHARS = 120


class PeridotcoveError(Exception):
    """Base class of all errors of the package."""


class SettingError(PeridotcoveError):
    """A setting has an invalid value.

    Parameters
    ----------
    path : str
        Location of the setting: file name and key path, or the name of an object.
    found : object
        The invalid value.
    allowed : str
        Description of the allowed values.
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
    """Group of all faults of a file or service description, each a `SettingError`."""

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


class UnknownMessage(ProtocolError):
    """A peer sent a message that this build doesn't know.

    Parameters
    ----------
    code : int
        Code of the message.
    """

    def __init__(self, code):
        super().__init__(f"unknown message code {code}")
        self.code = code


class IncompatiblePeer(ProtocolError):
    """A peer and this node speak protocols that don't work together."""


class UnauthorizedPeer(ProtocolError):
    """A peer failed to prove that it knows the shared secret."""


class LinkDown(PeridotcoveError):
    """A message was not sent: no link to the peer, or too much data queued for it."""


class PeerTooOld(LinkDown):
    """A message was not sent, since the peer's build does not know it."""


class PlatformDown(PeridotcoveError):
    """The platform did not respond, or its response was invalid."""


class RequestError(PeridotcoveError):
    """A request ended without a response from its endpoint.

    Parameters
    ----------
    code : str
        Short name of the reason, such as ``"overloaded"``.
    message : str
        Message for the caller.
    status : int
        HTTP status of the response to the caller.
    verdict : Verdict
        Whether the request may have run.
    retry_after_ms : int or None
        Time in ms after which the caller may retry.
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
    """An endpoint failed before, while or after it ran the request."""

    def __init__(self, code, message, verdict, status=502):
        super().__init__(code, message, status, verdict)


class TicketRefused(RequestError):
    """The process that holds a ticket did not run its request, or can't tell if it ran.

    Parameters
    ----------
    code, message : str
        As in `RequestError`.
    status : int
        HTTP status of the response to the caller.
    verdict : Verdict
        Whether the request may have run.
    ticket : str
        Ticket for another attempt, or empty.
    """

    def __init__(self, code, message, status, verdict, ticket=""):
        super().__init__(code, message, status, verdict)
        self.ticket = ticket
