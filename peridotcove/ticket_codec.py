"""Tickets as callers see them: signed text that names who may run a request."""

import base64
import hashlib
import hmac

import attrs
import cbor2
from attrs import frozen

from peridotcove.exceptions import ProtocolError

MAC_BYTES = 16
MAX_TICKET_CHARS = 512
MAC_CONTEXT = b"peridotcove ticket 1"


class InvalidTicket(ProtocolError):
    """A ticket is malformed or was not signed with this fleet's secret."""


@frozen
class Ticket:
    """Permission to run one request once.

    Attributes
    ----------
    node : str
        Node that minted it.
    incarnation : int
        Wall time in ms at which that node's process started.
    salt : bytes
        Random bytes of that process, which tell apart two of one start time.
    sequence : int
        Number among the tickets of that process.
    expires_ms : int
        Time in ms after the start of that process until which it may be used.
    customer : str
        Customer it was given to.
    """

    node: str
    incarnation: int
    salt: bytes
    sequence: int
    expires_ms: int
    customer: str

    @property
    def origin(self):
        """Return the process that minted it, as node, incarnation and salt."""
        return (self.node, self.incarnation, self.salt)


def encode_ticket(ticket, secret):
    """Return the text of a ticket.

    Parameters
    ----------
    ticket : Ticket
        What it says.
    secret : bytes
        Shared secret of the nodes.
    """
    content = cbor2.dumps(list(attrs.astuple(ticket)))
    return _to_text(_compute_mac(content, secret) + content)


def decode_ticket(text, secret):
    """Return the ticket of a text.

    Parameters
    ----------
    text : str
        What the caller sent.
    secret : bytes
        Shared secret of the nodes.

    Raises
    ------
    InvalidTicket
        If the text is no ticket of this fleet.
    """
    if len(text) > MAX_TICKET_CHARS:
        raise InvalidTicket("a ticket is too long")
    try:
        raw = base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)
    except ValueError:
        raise InvalidTicket("a ticket is not base64") from None
    if _to_text(raw) != text:
        raise InvalidTicket("a ticket has a second spelling")
    mac, content = raw[:MAC_BYTES], raw[MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(content, secret)):
        raise InvalidTicket("a ticket has a wrong signature")
    return Ticket(*cbor2.loads(content))


def digest_call(method, service, path, body):
    """Return the digest that binds a ticket to one call.

    Parameters
    ----------
    method : str
        HTTP method.
    service : str
        Name of the service.
    path : str
        Path and query below the service.
    body : bytes
        Body of the request.
    """
    content = cbor2.dumps([method, service, path, body])
    return hashlib.blake2b(content, digest_size=16).digest()


def _to_text(raw):
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode("ascii")


def _compute_mac(content, secret):
    return hmac.digest(secret, MAC_CONTEXT + content, "sha256")[:MAC_BYTES]
