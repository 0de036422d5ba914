"""Merges the event rings of several nodes into one time line.

Clocks of nodes differ: each ring's times are shifted by the offset that was measured
when it was collected. What is left of the error is mended by order: a node's events
keep their sequence, and an event never stands before its cause.
"""

import bisect
import collections
import heapq

from attrs import frozen

from peridotcove.exceptions import ProtocolError
from peridotcove.timeline import Event, event_kinds

EXPORT_FIELDS = ("node", "incarnation", "wall_ms", "last", "lost", "events")


@frozen
class CollectedTimeline:
    """Events of one node, as collected.

    Attributes
    ----------
    node : str
        Name of the node.
    incarnation : int
        Wall time in ms at which its process started.
    offset_ms : float
        How far its clock is ahead of the collector's, in ms.
    lost : int
        Events that the ring no longer held.
    events : tuple of Event
        The events, in order.
    """

    node: str
    incarnation: int
    offset_ms: float
    lost: int
    events: tuple[Event, ...]


@frozen(eq=False)
class Entry:
    """One event in the merged time line.

    Attributes
    ----------
    node : str
        Node of the event.
    event : Event
        The event.
    at_ms : float
        Corrected wall time in ms; never before that of its cause.
    cause : Entry or None
        Event of another node that a message carried here.
    """

    node: str
    event: Event
    at_ms: float
    cause: object = None


def parse_export(raw, offset_ms):
    """Return the ring that a node's operators' port gave.

    Parameters
    ----------
    raw : dict
        JSON value of `peridotcove.timeline.Timeline.export`.
    offset_ms : float
        How far the node's clock is ahead, in ms.

    Raises
    ------
    ProtocolError
        If the value is no export.
    """
    try:
        node, incarnation, _, _, lost, rows = (raw[name] for name in EXPORT_FIELDS)
        events = tuple(_parse_event(row) for row in rows)
    except (TypeError, KeyError, ValueError) as error:
        raise ProtocolError(f"the answer is no time line: {error!r}") from None
    return CollectedTimeline(str(node), incarnation, offset_ms, lost, events)


def _parse_event(row):
    sequence, wall_ms, kind, request_id, *rest = row
    return Event(sequence, wall_ms, kind, bytes.fromhex(request_id), *rest)


class _Causes:
    """Finds the event of a peer that a message carried to an event."""

    def __init__(self, rings):
        self._offset_by_node = {ring.node: ring.offset_ms for ring in rings}
        self._sequences = set()
        self._by_subject = collections.defaultdict(list)
        self._by_request = collections.defaultdict(list)
        awaited = {name for kind in event_kinds.by_name.values() for name in kind.after}
        for ring in rings:
            for event in ring.events:
                self._sequences.add((ring.node, event.sequence))
                if event.kind in awaited:
                    key = _subject(event, event.kind, ring.node, event.peer)
                    self._by_subject[key].append(event)
                    self._by_request[event.kind, event.request_id].append(
                        (ring.node, event)
                    )

    def find(self, node, event):
        """Return the key of the cause: its node and sequence number, or None."""
        if event.cause_sequence:
            key = (event.cause_node, event.cause_sequence)
            return key if key in self._sequences else None
        kind = event_kinds.by_name.get(event.kind)
        for earlier in kind.after if kind is not None else ():
            key = _subject(event, earlier, event.peer, node)
            found = self._by_subject.get(key)
            if found:
                return event.peer, self._nearest(found, node, event).sequence
            if event.request_id:
                found = self._by_request.get((earlier, event.request_id), ())
                others = [item for item in found if item[0] != node]
                if len(others) == 1:
                    return others[0][0], others[0][1].sequence
        return None

    def _nearest(self, found, node, event):
        at_ms = event.wall_ms - self._offset_by_node[node]
        shift = self._offset_by_node[event.peer]
        place = bisect.bisect_right(found, at_ms, key=lambda e: e.wall_ms - shift)
        return found[max(0, place - 1)]


def _subject(event, kind, node, peer):
    return kind, event.request_id, event.revision, node, peer


def merge_timelines(rings):
    """Return all events, ordered by cause and by corrected clock.

    Parameters
    ----------
    rings : sequence of Ring
        One ring a node.

    Returns
    -------
    entries : list of Entry
        Sequence of each node kept, causes before their effects.
    """
    entries = _Merge(rings).run()
    entries.sort(key=lambda entry: entry.at_ms)
    return entries


class _Merge:
    """Takes the earliest event whose cause is taken, again and again."""

    def __init__(self, rings):
        self._ring_by_node = {ring.node: ring for ring in rings}
        self._causes = _Causes(rings)
        self._place_by_node = dict.fromkeys(self._ring_by_node, 0)
        self._last_by_node = {}
        self._taken = {}
        self._waiting_by_cause = collections.defaultdict(list)
        self._heap = []

    def run(self):
        for node in self._ring_by_node:
            self._offer(node)
        while self._heap or self._waiting_by_cause:
            if not self._heap:
                self._release_earliest()
            _, node, sequence, cause = heapq.heappop(self._heap)
            self._take(node, self._taken.get(cause))
            for item in self._waiting_by_cause.pop((node, sequence), ()):
                heapq.heappush(self._heap, item)
            self._offer(node)
        return list(self._taken.values())

    def _offer(self, node):
        """Put the node's next event on the heap, or let it wait for its cause."""
        ring = self._ring_by_node[node]
        place = self._place_by_node[node]
        if place == len(ring.events):
            return
        event = ring.events[place]
        cause = self._causes.find(node, event)
        item = (event.wall_ms - ring.offset_ms, node, event.sequence, cause)
        if cause is None or cause in self._taken:
            heapq.heappush(self._heap, item)
        else:
            self._waiting_by_cause[cause].append(item)

    def _take(self, node, cause):
        ring = self._ring_by_node[node]
        event = ring.events[self._place_by_node[node]]
        at_ms = event.wall_ms - ring.offset_ms
        for earlier in (self._last_by_node.get(node), cause):
            if earlier is not None:
                at_ms = max(at_ms, earlier.at_ms)
        entry = Entry(node, event, at_ms, cause)
        self._taken[node, event.sequence] = entry
        self._last_by_node[node] = entry
        self._place_by_node[node] += 1

    def _release_earliest(self):
        """Let an event go on whose cause waits for it in turn: they don't belong."""
        waiting = self._waiting_by_cause
        cause = min(waiting, key=lambda key: min(item[:3] for item in waiting[key]))
        earliest = min(waiting[cause], key=lambda item: item[:3])
        waiting[cause].remove(earliest)
        if not waiting[cause]:
            del waiting[cause]
        heapq.heappush(self._heap, (*earliest[:3], None))


def filter_entries(entries, request_id=None, revision=None):
    """Return the entries of one request or of one revision.

    Parameters
    ----------
    entries : sequence of Entry
        A merged time line.
    request_id : bytes or None
        The request.
    revision : int or None
        The revision; ignored when a request is given.
    """
    if request_id is not None:
        return [entry for entry in entries if entry.event.request_id == request_id]
    return [entry for entry in entries if entry.event.revision == revision]
