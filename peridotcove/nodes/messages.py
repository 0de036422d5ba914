"""Typed messages between nodes and their CBOR encoding.

A frame is one CBOR array: ``[VERSION, code, revision, fields...]``, where revision is
that of the sender's configuration. Fields are in the order of the class; those at the
end that have their defaults are left out. Additional fields at the end are ignored, and
absent ones have their defaults, so that two builds of the program can run in the fleet
at once; see docs/design/upgrades.md.
"""

import attrs
import cbor2
from attrs import field, frozen

from peridotcove.exceptions import ProtocolError, UnknownMessage
from peridotcove.registry import Registry

VERSION = 1
# Protocol that this build speaks. It rises with each release that adds a message, or
# that has to know whether a peer acts on an added field.
PROTOCOL = 3
# Oldest protocol of a peer that this build works with. It rises with each release that
# changes what peers of older protocols rely on.
OLDEST_PROTOCOL = 1
MAX_FRAME_BYTES = 8 << 20
HEADER_FIELD_COUNT = 3
HASH_BYTES = 8
# Marks an engine in the `avoid` of `AskLease` as one that must not be used.
EXCLUDED_MARK = "!"

messages = Registry("message")


def message(code, since=1):
    """Return a decorator that registers a frozen attrs class as a message.

    Parameters
    ----------
    code : int
        Number of the message on the wire; never reused for another message.
    since : int
        First protocol whose peers know the message; it is not sent to others.
    """

    def register_class(cls):
        specs = attrs.fields(cls)
        cls.CODE = code
        cls.SINCE = since
        cls.FIELD_NAMES = tuple(spec.name for spec in specs)
        cls.FIELD_TYPES = tuple(spec.type for spec in specs)
        cls.REQUIRED_FIELD_COUNT = sum(spec.default is attrs.NOTHING for spec in specs)
        cls.DEFAULTS = tuple(_get_default(spec) for spec in specs)
        return messages.register(code)(cls)

    return register_class


def _get_default(spec):
    if isinstance(spec.default, attrs.Factory):
        return spec.default.factory()
    return spec.default


@message(1)
@frozen
class Hello:
    """Handshake message of a link, with a proof of the shared secret.

    Attributes
    ----------
    node, zone : str
        Name and zone of the sender.
    incarnation : int
        Wall time in ms at which the sender's process started.
    nonce : bytes
        16 fresh random bytes.
    proof : bytes
        HMAC-SHA-256 over both nonces and the sender's role, node, zone and
        incarnation; empty in the first message of the accepting node.
    accepts_compressed : bool
        Whether the sender reads compressed frames.
    protocol, oldest_protocol : int
        Protocol that the sender speaks, and the oldest one of peers that it works with;
        0 from builds that don't say.
    build : str
        Build of the program, for operators.
    """

    node: str
    zone: str
    incarnation: int
    nonce: bytes
    proof: bytes = b""
    accepts_compressed: bool = False
    protocol: int = 0
    oldest_protocol: int = 0
    build: str = ""


@message(2)
@frozen
class AskLease:
    """Requests a lease from an owner; see `peridotcove.models.LeaseRequest`.

    Attributes
    ----------
    request_id : bytes
        Id of the request.
    shard : str
        Shard that is to grant the lease.
    customer : str
        Customer of the request.
    model : str
        Model including its adapter; empty without adapter.
    prefixes : bytes
        Sampled prefix hashes, `HASH_BYTES` each, big-endian.
    blocks : int
        Number of complete blocks of the chat.
    hint : str
        Engine of the chat's previous turn, or empty.
    deadline_ms : int
        Maximum wait in ms.
    chat_key : int
        64-bit key of the chat, the same on each turn.
    priority : int
        Priority class in the queue; the customer's class applies if below 0.
    avoid : list
        Engines that already failed this request, and behind `EXCLUDED_MARK` those that
        must not be used.
    part_ends : list
        Length in tokens of each prefix, if the prompt is given in parts.
    trace_id : bytes
        Request id that the caller sent, for logs.
    stream : int
        Hash of the id of the stream that the request begins or takes up; 0 if it can't
        be taken up again.
    is_resumed : bool
        Whether the request takes the stream up.
    software_versions : list
        Software versions of the engines that may be used; any if empty.
    may_be_elsewhere : bool
        Whether the stream may have begun at another model, if it is not known where.
    regions : list
        Regions whose engines may be used; all if empty.
    goal_ms : int
        Time in ms left until the objective for the first event has passed; 0 for none.
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
    stream: int = 0
    is_resumed: bool = False
    software_versions: list = field(factory=list)
    may_be_elsewhere: bool = False
    regions: list = field(factory=list)
    goal_ms: int = 0


@message(3)
@frozen
class GiveLease:
    """Grants a lease; see `peridotcove.models.LeaseGrant`."""

    request_id: bytes
    engine: str
    cached_blocks: int
    source: str = ""


@message(4)
@frozen
class RefuseLease:
    """Refuses a lease; see `peridotcove.models.LeaseRefusal`."""

    request_id: bytes
    code: str
    retry_after_ms: int


@message(5)
@frozen
class ReleaseLease:
    """Ends a lease, or cancels a request for one.

    Attributes
    ----------
    request_id : bytes
        Id of the request.
    outcome : str
        ``"done"``, ``"failed"``, ``"cut"`` or ``"cut-before-answer"`` if the connection
        to the engine ended early, ``"unreachable"`` or ``"cancelled"``.
    cached_blocks : int
        Prefix blocks that the engine reported as reused; -1 if it reported none.
    first_ms, event_ms, slowness, slowness_age_ms : int
        Times of the answer; see `peridotcove.engine_time.answer_times.AnswerTimes`.
    """

    request_id: bytes
    outcome: str
    cached_blocks: int = -1
    first_ms: int = 0
    event_ms: int = 0
    slowness: int = 0
    slowness_age_ms: int = 0


@message(6)
@frozen
class HoldLeases:
    """Reports the leases of a shard that an entry node holds to a new owner.

    Attributes
    ----------
    shard : str
        Shard of the leases.
    leases : list
        Triples of request id, engine and customer.
    """

    shard: str
    leases: list


@message(7)
@frozen
class QueueLease:
    """Confirms that the owner has queued a request.

    Attributes
    ----------
    request_id : bytes
        Id of the request.
    """

    request_id: bytes


@message(8)
@frozen
class ShareSuspects:
    """Lists parts of prompts that are suspected to crash engines.

    Attributes
    ----------
    records : list
        Records of `peridotcove.crash_suspects.CrashSuspects.records`.
    """

    records: list


@message(9, since=2)
@frozen
class ShareOrigins:
    """Reports which software version began streams that may be taken up again.

    Attributes
    ----------
    model, software_version : str
        Model that serves the streams, and version of the engines that began them.
    streams : bytes
        Hashes of the ids of the streams, `HASH_BYTES` each, big-endian.
    """

    model: str
    software_version: str
    streams: bytes


@message(11, since=2)
@frozen
class ShareVersions:
    """Reports which software versions have served lately, to a node that has started.

    Attributes
    ----------
    reports : list
        One list for each model: its name, the time in ms for which the sender has
        known the versions of its engines, and for each version that has served within
        the life of a stream a list of the version and the time in ms since it was last
        seen.
    """

    reports: list


def pack_hashes(hashes):
    """Return hashes in their wire encoding.

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
        If the length is not a multiple of `HASH_BYTES`.
    """
    if len(data) % HASH_BYTES:
        raise ProtocolError(f"{len(data)} bytes are not a whole number of hashes")
    starts = range(0, len(data), HASH_BYTES)
    return tuple(int.from_bytes(data[i : i + HASH_BYTES], "big") for i in starts)


def encode(item, revision):
    """Return the frame of a message; fields at its end with their default are omitted.

    Parameters
    ----------
    item : object
        Instance of a registered message class.
    revision : int
        Configuration revision of the sender.
    """
    values = [getattr(item, name) for name in item.FIELD_NAMES]
    while len(values) > item.REQUIRED_FIELD_COUNT and (
        values[-1] == item.DEFAULTS[len(values) - 1]
    ):
        values.pop()
    return cbor2.dumps([VERSION, item.CODE, revision, *values])


def decode(frame):
    """Return the message of a frame and the configuration revision of the sender.

    Parameters
    ----------
    frame : bytes
        Frame to decode.

    Raises
    ------
    UnknownMessage
        If the frame is valid, but this build knows no message of its code.
    ProtocolError
        If the frame is not a valid message.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise ProtocolError(f"a frame of {len(frame)} bytes is over the size limit")
    try:
        values = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise ProtocolError(f"a frame is not valid CBOR: {error}") from None
    if not isinstance(values, list) or len(values) < HEADER_FIELD_COUNT:
        raise ProtocolError("a frame is not an array with a complete header")
    version, code, revision = values[:HEADER_FIELD_COUNT]
    if version != VERSION or not isinstance(revision, int):
        raise ProtocolError(
            f"unsupported frame version {version!r}, expected {VERSION}"
        )
    if type(code) is not int:
        raise ProtocolError(f"{code!r} is not a message code")
    cls = messages.by_name.get(code)
    if cls is None:
        raise UnknownMessage(code)
    return _make_message(cls, values[HEADER_FIELD_COUNT:]), revision


def _make_message(cls, values):
    if len(values) < cls.REQUIRED_FIELD_COUNT:
        text = f"{cls.__name__} has {len(values)} of {cls.REQUIRED_FIELD_COUNT} fields"
        raise ProtocolError(text)
    for name, kind, value in zip(
        cls.FIELD_NAMES, cls.FIELD_TYPES, values, strict=False
    ):
        if type(value) is not kind:
            raise ProtocolError(
                f"{cls.__name__}.{name} has a value of the wrong type: {value!r}"
            )
    return cls(*values[: len(cls.FIELD_NAMES)])
