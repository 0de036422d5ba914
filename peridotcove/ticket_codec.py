"""Encodes tickets as signed text, and decodes them."""

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
    """Permission to run one call, at most once.

    Attributes
    ----------
    node : str
        Node that minted the ticket.
    incarnation : int
        Wall time in ms at which the minting process started.
    salt : bytes
        Random bytes of the minting process; they distinguish two processes with the
        same node and start time.
    sequence : int
        Number of the ticket among those of the minting process.
    expires_ms : int
        Expiry in ms after the start of the minting process.
    customer : str
        Customer that the ticket was minted for.
    """

    node: str
    incarnation: int
    salt: bytes
    sequence: int
    expires_ms: int
    customer: str

    @property
    def origin(self):
        """Identity of the minting process: node, incarnation and salt."""
        return (self.node, self.incarnation, self.salt)


def encode_ticket(ticket, secret):
    """Return the signed text of a ticket.

    Parameters
    ----------
    ticket : Ticket
        The ticket.
    secret : bytes
        Shared secret of the nodes.
    """
    content = cbor2.dumps(list(attrs.astuple(ticket)))
    return _to_text(_compute_mac(content, secret) + content)


def decode_ticket(text, secret):
    """Return the ticket in a signed text.

    Parameters
    ----------
    text : str
        Text that the caller sent.
    secret : bytes
        Shared secret of the nodes.

    Raises
    ------
    InvalidTicket
        If the text is malformed or was not signed with this fleet's secret.
    """
    if len(text) > MAX_TICKET_CHARS:
        raise InvalidTicket("the ticket is too long")
    try:
        raw = base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)
    except ValueError:
        raise InvalidTicket("the ticket is not valid base64") from None
    if _to_text(raw) != text:
        raise InvalidTicket("the ticket is not in canonical base64")
    mac, content = raw[:MAC_BYTES], raw[MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(content, secret)):
        raise InvalidTicket("the signature of the ticket is wrong")
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
        Path below the service, with its query.
    body : bytes
        Body of the request.
    """
    content = cbor2.dumps([method, service, path, body])
    return hashlib.blake2b(content, digest_size=16).digest()


def _to_text(raw):
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode("ascii")


def _compute_mac(content, secret):
    return hmac.digest(secret, MAC_CONTEXT + content, "sha256")[:MAC_BYTES]
