"""Typed messages between nodes and their CBOR form.

A frame is one CBOR array: ``[VERSION, code, revision, fields...]``, where revision is
that of the sender's configuration. Fields stand in the order of the class. Additional
fields at the end are ignored, so that two versions of the program can be in the fleet
at once.
"""

import attrs
import cbor2
from attrs import field, frozen

from peridotcove.exceptions import ProtocolError
from peridotcove.registry import Registry

VERSION = 1
MAX_FRAME_BYTES = 8 << 20
HEADER_FIELD_COUNT = 3
HASH_BYTES = 8

messages = Registry("message")


def message(code):
    """Return a decorator that registers a frozen attrs class as a message.

    Parameters
    ----------
    code : int
        Number of the message on the wire; never used again.
    """

    def enter(cls):
        specs = attrs.fields(cls)
        cls.CODE = code
        cls.NAMES = tuple(spec.name for spec in specs)
        cls.TYPES = tuple(spec.type for spec in specs)
        cls.REQUIRED = sum(spec.default is attrs.NOTHING for spec in specs)
        return messages.register(code)(cls)

    return enter


@message(1)
@frozen
class Hello:
    """First frame of a link in each direction, with proof of the shared secret.

    Attributes
    ----------
    node, zone : str
        Name and zone of the sender.
    incarnation : int
        Wall time in ms at which the sender's process started.
    nonce : bytes
        Fresh random bytes, 16 of them.
    proof : bytes
        HMAC-SHA-256 over the peer's nonce, node and incarnation; empty at first.
    """

    node: str
    zone: str
    incarnation: int
    nonce: bytes
    proof: bytes = b""


@message(2)
@frozen
class AskLease:
    """An entry node asks for a lease; see `peridotcove.models.LeaseRequest`.

    Attributes
    ----------
    request_id : bytes
        Id of the request.
    shard : str
        Shard asked of.
    customer : str
        Customer that pays.
    model : str
        Model with its adapter; empty without adapter.
    prefixes : bytes
        Thinned prefix hashes, `HASH_BYTES` each, big-endian.
    blocks : int
        Whole blocks of the chat.
    hint : str
        Engine of the chat's last turn, or empty.
    deadline_ms : int
        Longest wait in ms.
    chat_key : int
        Key of the chat that stays the same on each turn, 64 bits.
    priority : int
        Class in the queue; below 0, that of the customer.
    avoid : list
        Engines that failed this request before.
    part_ends : list
        Tokens of each prefix, where the prompt is given in parts.
    trace_id : bytes
        Id that the caller gave the request, for the log.
    """

    request_id: bytes
    shard: str
    customer: str
    model: str
    prefixes: bytes
    blocks: int
    hint: str
    deadline_ms: int
    chat_key: int
    priority: int = -1
    avoid: list = field(factory=list)
    part_ends: list = field(factory=list)
    trace_id: bytes = b""


@message(3)
@frozen
class GiveLease:
    """The owner grants a lease; see `peridotcove.models.LeaseGrant`."""

    request_id: bytes
    engine: str
    cached_blocks: int
    source: str = ""


@message(4)
@frozen
class RefuseLease:
    """The owner refuses a lease; see `peridotcove.models.LeaseRefusal`."""

    request_id: bytes
    code: str
    retry_after_ms: int


@message(5)
@frozen
class ReleaseLease:
    """A lease ends, or the entry no longer waits for one.

    Attributes
    ----------
    request_id : bytes
        Id of the request.
    outcome : str
        ``"done"``, ``"failed"``, ``"unreachable"`` or ``"cancelled"``.
    cached_blocks : int
        Prefix blocks that the engine said it reused; -1 if it said nothing.
    """

    request_id: bytes
    outcome: str
    cached_blocks: int = -1


@message(6)
@frozen
class HoldLeases:
    """An entry tells a new owner which leases of a shard it holds.

    Attributes
    ----------
    shard : str
        The shard.
    leases : list
        Triples of request id, engine and customer.
    """

    shard: str
    leases: list


@message(7)
@frozen
class QueueLease:
    """The owner has the request in its queue.

    Attributes
    ----------
    request_id : bytes
        Id of the request.
    """

    request_id: bytes


def pack_hashes(hashes):
    """Return hashes as bytes.

    Parameters
    ----------
    hashes : iterable of int
        64-bit hashes.
    """
    return b"".join(item.to_bytes(HASH_BYTES, "big") for item in hashes)


def unpack_hashes(data):
    """Return the hashes that `pack_hashes` packed.

    Parameters
    ----------
    data : bytes
        Packed hashes.

    Raises
    ------
    ProtocolError
        If the length is no multiple of `HASH_BYTES`.
    """
    if len(data) % HASH_BYTES:
        raise ProtocolError(f"{len(data)} bytes are no hashes")
    starts = range(0, len(data), HASH_BYTES)
    return tuple(int.from_bytes(data[i : i + HASH_BYTES], "big") for i in starts)


def encode(item, revision):
    """Return the frame of a message.

    Parameters
    ----------
    item : object
        An instance of a registered class.
    revision : int
        Sender's configuration revision.
    """
    values = [getattr(item, name) for name in item.NAMES]
    return cbor2.dumps([VERSION, item.CODE, revision, *values])


def decode(frame):
    """Return the message of a frame and the sender's configuration revision.

    Parameters
    ----------
    frame : bytes
        One frame.

    Raises
    ------
    ProtocolError
        If the frame is no message.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise ProtocolError(f"a frame of {len(frame)} bytes is too large")
    try:
        values = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise ProtocolError(f"a frame is no CBOR: {error}") from None
    if not isinstance(values, list) or len(values) < HEADER_FIELD_COUNT:
        raise ProtocolError("a frame has no head")
    version, code, revision = values[:HEADER_FIELD_COUNT]
    if version != VERSION or not isinstance(revision, int):
        raise ProtocolError(f"version {version!r} is not {VERSION}")
    cls = messages.by_name.get(code) if isinstance(code, int) else None
    if cls is None:
        raise ProtocolError(f"message {code!r} is not known")
    return _build(cls, values[HEADER_FIELD_COUNT:]), revision


def _build(cls, values):
    if len(values) < cls.REQUIRED:
        text = f"{cls.__name__} has {len(values)} of {cls.REQUIRED} fields"
        raise ProtocolError(text)
    for name, kind, value in zip(cls.NAMES, cls.TYPES, values, strict=False):
        if type(value) is not kind:
            raise ProtocolError(f"{cls.__name__}.{name} is {value!r}")
    return cls(*values[: len(cls.NAMES)])
