"""Mutual challenge-response authentication of two nodes when a link opens.

The accepting node sends a `Hello` with a nonce. The dialing node replies with its own
nonce and a proof over the first nonce; the accepting node then sends a proof over the
second nonce. The shared secret itself is never sent.
"""

import hashlib
import hmac
import os

from attrs import evolve, frozen

from peridotcove.exceptions import ProtocolError, UnauthorizedPeer
from peridotcove.nodes.messages import (
    OLDEST_PROTOCOL,
    PROTOCOL,
    Hello,
    decode,
    encode,
)

NONCE_BYTES = 16


@frozen
class Identity:
    """Identity that a node presents to its peers.

    Attributes
    ----------
    node, zone : str
        Name and zone of the node.
    incarnation : int
        Wall time in ms at which the process started.
    build : str
        Build of the program.
    protocol, oldest_protocol : int
        Protocol that it speaks, and the oldest one of peers that it works with.
    """

    node: str
    zone: str
    incarnation: int
    build: str = ""
    protocol: int = PROTOCOL
    oldest_protocol: int = OLDEST_PROTOCOL


def compute_proof(secret, nonce, role, hello):
    """Return the HMAC that proves that the sender of a `Hello` knows the secret.

    Parameters
    ----------
    secret : bytes
        Shared secret of the nodes.
    nonce : bytes
        Nonce that the peer sent.
    role : bytes
        ``b"dial"`` or ``b"accept"``, which prevents reflection of a proof.
    hello : Hello
        Message that the proof covers; its own proof is not included.
    """
    fields = [role, nonce, hello.nonce, hello.node.encode(), hello.zone.encode()]
    fields.append(str(hello.incarnation).encode())
    text = b"\x00".join(len(item).to_bytes(4, "big") + item for item in fields)
    return hmac.digest(secret, text, hashlib.sha256)


def make_hello(identity):
    """Return a `Hello` with a fresh nonce and no proof.

    Parameters
    ----------
    identity : Identity
        Identity of the sender.
    """
    nonce = os.urandom(NONCE_BYTES)
    return Hello(
        identity.node,
        identity.zone,
        identity.incarnation,
        nonce,
        accepts_compressed=True,
        protocol=identity.protocol,
        oldest_protocol=identity.oldest_protocol,
        build=identity.build,
    )


async def read_hello(socket):
    """Read the next frame of a socket and return it as a `Hello`.

    Parameters
    ----------
    socket : FrameSocket
        Socket of the link.

    Raises
    ------
    ProtocolError
        If the frame is not a `Hello` or its nonce has the wrong length.
    """
    frame = await socket.read()
    hello, _ = decode(frame)
    if not isinstance(hello, Hello) or len(hello.nonce) != NONCE_BYTES:
        raise ProtocolError("expected a Hello message at the start of the link")
    return hello


def _verify_proof(secret, nonce, role, hello):
    if not hmac.compare_digest(compute_proof(secret, nonce, role, hello), hello.proof):
        raise UnauthorizedPeer(
            f"node {hello.node!r} sent an invalid proof of the shared secret"
        )


async def accept(socket, identity, secret):
    """Authenticate the dialing node of an accepted link and return its `Hello`.

    Parameters
    ----------
    socket : FrameSocket
        Socket of the link.
    identity : Identity
        Identity of this node.
    secret : bytes
        Shared secret of the nodes.

    Raises
    ------
    ProtocolError
        If the peer sends a malformed message or an invalid proof.
    """
    own_hello = make_hello(identity)
    socket.send(encode(own_hello, 0))
    peer_hello = await read_hello(socket)
    _verify_proof(secret, own_hello.nonce, b"dial", peer_hello)
    proof = compute_proof(secret, peer_hello.nonce, b"accept", own_hello)
    socket.send(encode(evolve(own_hello, proof=proof), 0))
    return peer_hello


async def dial(socket, identity, secret, peer):
    """Authenticate to and verify the accepting node of a link; return its `Hello`.

    Parameters
    ----------
    socket : FrameSocket
        Socket of the link.
    identity : Identity
        Identity of this node.
    secret : bytes
        Shared secret of the nodes.
    peer : str
        Expected name of the peer.

    Raises
    ------
    ProtocolError
        If the peer sends a malformed message or an invalid proof, or has another name.
    """
    first_hello = await read_hello(socket)
    own_hello = make_hello(identity)
    proof = compute_proof(secret, first_hello.nonce, b"dial", own_hello)
    socket.send(encode(evolve(own_hello, proof=proof), 0))
    peer_hello = await read_hello(socket)
    _verify_proof(secret, own_hello.nonce, b"accept", peer_hello)
    if peer_hello.node != peer:
        raise ProtocolError(
            f"node {peer_hello.node!r} answered at the address of {peer!r}"
        )
    return peer_hello
