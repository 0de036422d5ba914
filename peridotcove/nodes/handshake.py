"""Mutual proof of the shared secret when a link between two nodes opens.

The accepting node greets with a nonce; the dialing node answers with a nonce of its own
and a proof over the first; the accepting node closes with a proof over the second. The
secret itself never travels.
"""

import hashlib
import hmac
import os

from attrs import evolve, frozen

from peridotcove.exceptions import ProtocolError, UnauthorizedPeer
from peridotcove.nodes.messages import Hello, decode, encode

NONCE_BYTES = 16


@frozen
class Identity:
    """What a node says of itself.

    Attributes
    ----------
    node, zone : str
        Name and zone.
    incarnation : int
        Wall time in ms at which the process started.
    """

    node: str
    zone: str
    incarnation: int


def prove(secret, nonce, role, hello):
    """Return the proof that the sender of a greeting knows the secret.

    Parameters
    ----------
    secret : bytes
        Shared secret of the nodes.
    nonce : bytes
        Nonce of the other side.
    role : bytes
        ``b"dial"`` or ``b"accept"``, so that a proof can't be reflected.
    hello : Hello
        The greeting that the proof covers.
    """
    fields = [role, nonce, hello.nonce, hello.node.encode(), hello.zone.encode()]
    fields.append(str(hello.incarnation).encode())
    text = b"\x00".join(len(item).to_bytes(4, "big") + item for item in fields)
    return hmac.digest(secret, text, hashlib.sha256)


def greet(identity):
    """Return a greeting with a fresh nonce and no proof.

    Parameters
    ----------
    identity : Identity
        The sender.
    """
    nonce = os.urandom(NONCE_BYTES)
    return Hello(identity.node, identity.zone, identity.incarnation, nonce)


async def read_hello(socket):
    """Return the next frame of a socket, which must be a greeting.

    Parameters
    ----------
    socket : FrameSocket
        The link.

    Raises
    ------
    ProtocolError
        If it is something else.
    """
    frame = await socket.read()
    hello, _ = decode(frame)
    if not isinstance(hello, Hello) or len(hello.nonce) != NONCE_BYTES:
        raise ProtocolError("a link does not begin with a greeting")
    return hello


def _check(secret, nonce, role, hello):
    if not hmac.compare_digest(prove(secret, nonce, role, hello), hello.proof):
        raise UnauthorizedPeer(f"{hello.node!r} does not know the secret")


async def accept(socket, identity, secret):
    """Greet a node that dialed and return its greeting once it is proved.

    Parameters
    ----------
    socket : FrameSocket
        The link.
    identity : Identity
        This node.
    secret : bytes
        Shared secret of the nodes.

    Raises
    ------
    ProtocolError
        If the other side is malformed or does not know the secret.
    """
    mine = greet(identity)
    socket.send(encode(mine, 0))
    theirs = await read_hello(socket)
    _check(secret, mine.nonce, b"dial", theirs)
    proof = prove(secret, theirs.nonce, b"accept", mine)
    socket.send(encode(evolve(mine, proof=proof), 0))
    return theirs


async def dial(socket, identity, secret, peer):
    """Prove the secret to a node and return its greeting once it is proved.

    Parameters
    ----------
    socket : FrameSocket
        The link.
    identity : Identity
        This node.
    secret : bytes
        Shared secret of the nodes.
    peer : str
        Name that the other side must have.

    Raises
    ------
    ProtocolError
        If the other side is malformed, another node, or does not know the secret.
    """
    first = await read_hello(socket)
    mine = greet(identity)
    proof = prove(secret, first.nonce, b"dial", mine)
    socket.send(encode(evolve(mine, proof=proof), 0))
    theirs = await read_hello(socket)
    _check(secret, mine.nonce, b"accept", theirs)
    if theirs.node != peer:
        raise ProtocolError(f"{theirs.node!r} answers in place of {peer!r}")
    return theirs
