"""Bounded ring buffer of a node's events, and the registry of event kinds.

The events of several nodes are merged by `peridotcove.timeline_merge`. Messages between
nodes carry no extra data for this. An event that a message caused is matched with its
cause by kind: a kind lists the kinds that can cause it, and both events have the same
request or revision and name each other's node as peer.
"""

import collections
import itertools
import logging

from attrs import frozen

from peridotcove.registry import Registry

DEFAULT_CAPACITY = 10_000
MAX_DETAIL_CHARS = 200
MAX_EXPORT = 10_000

event_kinds = Registry("event kind")


@frozen
class EventKind:
    """A kind of event.

    Attributes
    ----------
    name : str
        Name in the export, such as ``"lease-granted"``.
    text : str
        Short description, which is also the message of the log line.
    cause_kinds : tuple of str
        Kinds of a peer's event that can cause this one through a message.
    level : int
        Level of its log line; `logging.NOTSET` for none.
    """

    name: str
    text: str
    cause_kinds: tuple[str, ...] = ()
    level: int = logging.INFO


def add_kind(name, text, *cause_kinds, level=logging.INFO):
    """Register a kind of event and return it.

    Parameters
    ----------
    name : str
        Name in the export.
    text : str
        Short description, which is also the message of the log line.
    *cause_kinds : str
        Kinds of a peer's event that can cause this one through a message.
    level : int
        Level of its log line; `logging.NOTSET` for none.
    """
    return event_kinds.register(name)(EventKind(name, text, cause_kinds, level))


add_kind("node-started", "the node started")
add_kind("node-ready", "the node takes requests")
add_kind("node-paused", "the process was paused", level=logging.WARNING)
add_kind("drain-started", "the node is leaving")
add_kind("drain-ended", "the last request left the node")
add_kind("peer-up", "a peer is reachable")
add_kind("peer-down", "a peer is not reachable", level=logging.WARNING)
add_kind("link-opened", "a link to a peer opened")
add_kind("link-closed", "a link to a peer closed")
add_kind("request-arrived", "a caller's request arrived", level=logging.NOTSET)
add_kind(
    "request-refused", "the request was refused and did not run", level=logging.WARNING
)
add_kind("request-sent", "the request went to an endpoint")
add_kind("request-delayed", "the request waits since all engines want none yet")
add_kind("request-retried", "the request is tried again", level=logging.WARNING)
add_kind("first-byte", "the endpoint's first byte arrived", level=logging.NOTSET)
add_kind("request-ended", "the request ended")
add_kind("lease-asked", "the entry asked for a lease", level=logging.NOTSET)
add_kind("lease-queued", "the owner queued the request", "lease-asked")
add_kind("lease-granted", "the owner granted a lease", "lease-asked")
add_kind(
    "lease-refused", "the owner refused a lease", "lease-asked", level=logging.WARNING
)
add_kind(
    "grant-received", "the entry got the lease", "lease-granted", level=logging.NOTSET
)
add_kind(
    "refusal-received",
    "the entry got the refusal",
    "lease-refused",
    level=logging.NOTSET,
)
add_kind("lease-released", "the entry released the lease", level=logging.NOTSET)
add_kind(
    "release-received",
    "the owner took the lease back",
    "lease-released",
    level=logging.NOTSET,
)
add_kind("leases-handed-over", "an entry told a new owner its leases")
add_kind("leases-taken-over", "a new owner learnt of leases", "leases-handed-over")
add_kind("ticket-minted", "a ticket was minted")
add_kind("ticket-used", "the ticket was used for the one run")
add_kind("request-moved", "the only copy moved to the minter of its ticket")
add_kind(
    "move-received",
    "the minter got the only copy",
    "request-moved",
    level=logging.NOTSET,
)
add_kind("move-answered", "the minter answered", level=logging.NOTSET)
add_kind(
    "move-answer-received",
    "the entry got the minter's answer",
    "move-answered",
    level=logging.NOTSET,
)
add_kind(
    "revision-read", "a reader got the revision from the service", level=logging.NOTSET
)
add_kind(
    "revision-refused", "the revision is faulty and not in force", level=logging.WARNING
)
add_kind("revision-sent", "the revision went to a peer", level=logging.NOTSET)
add_kind(
    "revision-received",
    "the revision came from a peer",
    "revision-sent",
    level=logging.NOTSET,
)
add_kind("revision-in-force", "the revision is in force on the node")
add_kind(
    "stream-resumed",
    "another engine is to go on with the stream",
    level=logging.WARNING,
)
add_kind(
    "request-failed", "the request ended without a whole answer", level=logging.WARNING
)
add_kind(
    "answer-cut",
    "the endpoint's connection ended before the answer did",
    level=logging.WARNING,
)
add_kind("answer-unframed", "an answer without length or chunks ended")
add_kind("engine-leaving", "an engine says that it leaves and gets no work")
add_kind("engine-paused", "an engine wants no requests for a time")
add_kind(
    "engine-notice-invalid",
    "an engine names a time that can't be kept",
    level=logging.WARNING,
)
add_kind("life-check-failed", "an engine did not say whether it lives")
add_kind("answer-copy-discarded", "a second copy followed an answer without length")
add_kind(
    "engine-crashed",
    "most requests of an engine were cut at once",
    level=logging.WARNING,
)
add_kind(
    "part-quarantined",
    "requests with a part that crashes engines are refused",
    level=logging.WARNING,
)
add_kind("part-cleared", "a request with a suspected part was answered")
add_kind("retry-denied", "the budget of retries is used up", level=logging.WARNING)
add_kind("owner-silent", "an owner did not answer in time", level=logging.WARNING)
add_kind(
    "engines-unreached",
    "this node can't reach engines; its peers connect it",
    level=logging.WARNING,
)
add_kind("engines-reached", "this node reaches engines again")
add_kind("request-relayed", "the request went through a peer")
add_kind(
    "engines-aside", "engines that fail get no work for a while", level=logging.WARNING
)
add_kind("endpoints-changed", "other endpoints are in service")
add_kind("engines-cold", "engines say that they are cold")
add_kind("engine-turned-cold", "an engine says in an answer that it is cold")
add_kind(
    "zones-evacuated", "other availability zones are evacuated", level=logging.WARNING
)
add_kind("zone-share-changed", "another share of a zone's requests may leave it")
add_kind("owners-changed", "other nodes own shards")
add_kind("dispatcher-closed", "the node grants no more leases of a shard")
add_kind(
    "service-lost", "the configuration service can not be read", level=logging.WARNING
)
add_kind("service-regained", "the configuration service can be read again")
add_kind("nodes-found", "a peer named nodes that were not known")
add_kind("settings-reloaded", "the settings file has changed")
add_kind("order-sent", "an order went to an engine")
add_kind("order-answered", "the engine answered an order")


@frozen
class Event:
    """One event on a node.

    Attributes
    ----------
    sequence : int
        Sequence number; starts at 1 in each incarnation of the node.
    wall_ms : int
        Wall time of the node in ms since the Unix epoch.
    kind : str
        Name of a registered kind.
    request_id : bytes
        Id of the request that the event belongs to, or empty.
    revision : int
        Configuration revision that the event belongs to, or 0.
    peer : str
        Name of the remote node, engine or endpoint, or empty.
    detail : str
        Further information; never contains a secret or a part of a chat.
    cause_node : str
        Node of the event that caused this one, if the message named it; else empty.
    cause_sequence : int
        Sequence number of the causing event, or 0.
    """

    sequence: int
    wall_ms: int
    kind: str
    request_id: bytes = b""
    revision: int = 0
    peer: str = ""
    detail: str = ""
    cause_node: str = ""
    cause_sequence: int = 0


class Timeline:
    """The most recent events of one node.

    Parameters
    ----------
    clock : Clock
        The node's clock.
    node : str
        Name of the node.
    capacity : int
        Maximum number of events kept; the oldest are discarded first.
    incarnation : int or None
        Wall time in ms at which the process started; defaults to the current time.
    logger : logging.Logger or None
        Logger for events whose kind has a level.
    """

    def __init__(
        self, clock, node, capacity=DEFAULT_CAPACITY, incarnation=None, logger=None
    ):
        self.node = node
        self.incarnation = clock.wall() if incarnation is None else incarnation
        self.capacity = capacity
        self._clock = clock
        self._logger = logger
        self._last_sequence = 0
        self._events = collections.deque(maxlen=capacity)

    def __len__(self):
        return len(self._events)

    def record(self, kind, inputs=None, **fields):
        """Add an event and return its sequence number.

        Parameters
        ----------
        kind : str
            Name of a registered kind.
        inputs : dict or None
            Inputs of the decision behind the event, with their age or version; added
            to the log line only.
        **fields : object
            Fields of `Event` other than sequence number, time and kind.

        Raises
        ------
        KeyError
            If no kind has that name.
        """
        event_kind = event_kinds.get(kind)
        detail = fields.pop("detail", "")[:MAX_DETAIL_CHARS]
        sequence = self._last_sequence + 1
        wall_ms = self._clock.wall()
        event = Event(sequence, wall_ms, kind, detail=detail, **fields)
        self._events.append(event)
        self._last_sequence = sequence
        if self._logger is not None and event_kind.level:
            self._log(event_kind, event, inputs or {})
        return sequence

    def _log(self, event_kind, event, inputs):
        fields = {
            "kind": event.kind,
            "request": event.request_id.hex(),
            "revision": event.revision,
            "peer": event.peer,
            "detail": event.detail,
            **inputs,
        }
        log_extra = {
            name: value for name, value in fields.items() if value not in ("", 0)
        }
        self._logger.log(event_kind.level, event_kind.text, extra=log_extra)

    def events(self, after=0, limit=MAX_EXPORT):
        """Return the stored events after a sequence number, oldest first.

        Parameters
        ----------
        after : int
            Sequence number of the last event that the caller already has.
        limit : int
            Maximum number of events.
        """
        first = self._last_sequence - len(self._events) + 1
        start = max(0, after + 1 - first)
        return list(itertools.islice(self._events, start, start + limit))

    def export(self, after=0, limit=MAX_EXPORT):
        """Return the events as a JSON value, for the HTTP server for operators.

        Parameters
        ----------
        after : int
            Sequence number of the last event that the caller already has.
        limit : int
            Maximum number of events.
        """
        return {
            "node": self.node,
            "incarnation": self.incarnation,
            "wall_ms": self._clock.wall(),
            "last": self._last_sequence,
            "lost": max(0, self._last_sequence - len(self._events) - after),
            "events": [export_event(event) for event in self.events(after, limit)],
        }


def export_event(event):
    """Return an event as a JSON list of its fields, in their order.

    Parameters
    ----------
    event : Event
        The event.
    """
    return [
        event.sequence,
        event.wall_ms,
        event.kind,
        event.request_id.hex(),
        event.revision,
        event.peer,
        event.detail,
        event.cause_node,
        event.cause_sequence,
    ]
