"""Merges the timelines of several nodes into one.

Clocks of nodes differ, so each node's times are corrected by the clock offset that was
measured when its events were collected. The remaining error is corrected by causal
order: a node's events keep their sequence, and an event never precedes its cause.
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
    """Events that were collected from one node.

    Attributes
    ----------
    node : str
        Name of the node.
    incarnation : int
        Wall time in ms at which its process started.
    offset_ms : float
        Clock offset in ms: node's clock minus collector's clock.
    lost : int
        Number of events that the node's ring buffer had already discarded.
    events : tuple of Event
        The events, in order of their sequence numbers.
    """

    node: str
    incarnation: int
    offset_ms: float
    lost: int
    events: tuple[Event, ...]


@frozen(eq=False)
class TimelineEntry:
    """One event in the merged timeline.

    Attributes
    ----------
    node : str
        Node of the event.
    event : Event
        The event.
    at_ms : float
        Corrected wall time in ms; never before that of its cause.
    cause : TimelineEntry or None
        Event of another node that caused this one through a message.
    """

    node: str
    event: Event
    at_ms: float
    cause: object = None


def parse_export(raw, offset_ms):
    """Return the events that a node exported.

    Parameters
    ----------
    raw : dict
        JSON value of `peridotcove.timeline.Timeline.export`.
    offset_ms : float
        Clock offset in ms: node's clock minus collector's clock.

    Raises
    ------
    ProtocolError
        If the value is not an export.
    """
    try:
        node, incarnation, _, _, lost, rows = (raw[name] for name in EXPORT_FIELDS)
        events = tuple(_parse_event(row) for row in rows)
    except (TypeError, KeyError, ValueError) as error:
        raise ProtocolError(f"response is not a timeline export: {error!r}") from None
    return CollectedTimeline(str(node), incarnation, offset_ms, lost, events)


def _parse_event(row):
    sequence, wall_ms, kind, request_id, *rest = row
    return Event(sequence, wall_ms, kind, bytes.fromhex(request_id), *rest)


class _CauseIndex:
    """Finds the event of another node that caused an event through a message."""

    def __init__(self, timelines):
        self._offset_by_node = {
            timeline.node: timeline.offset_ms for timeline in timelines
        }
        self._sequences = set()
        self._events_by_subject = collections.defaultdict(list)
        self._events_by_request = collections.defaultdict(list)
        known_cause_kinds = {
            name for kind in event_kinds.by_name.values() for name in kind.cause_kinds
        }
        for timeline in timelines:
            for event in timeline.events:
                self._sequences.add((timeline.node, event.sequence))
                if event.kind in known_cause_kinds:
                    key = _subject(event, event.kind, timeline.node, event.peer)
                    self._events_by_subject[key].append(event)
                    self._events_by_request[event.kind, event.request_id].append(
                        (timeline.node, event)
                    )

    def find(self, node, event):
        """Return the node and sequence number of the cause, or None if unknown."""
        if event.cause_sequence:
            key = (event.cause_node, event.cause_sequence)
            return key if key in self._sequences else None
        kind = event_kinds.by_name.get(event.kind)
        for cause_kind in kind.cause_kinds if kind is not None else ():
            key = _subject(event, cause_kind, event.peer, node)
            candidates = self._events_by_subject.get(key)
            if candidates:
                return event.peer, self._find_last_before(
                    candidates, node, event
                ).sequence
            if event.request_id:
                candidates = self._events_by_request.get(
                    (cause_kind, event.request_id), ()
                )
                remote = [item for item in candidates if item[0] != node]
                if len(remote) == 1:
                    return remote[0][0], remote[0][1].sequence
        return None

    def _find_last_before(self, candidates, node, event):
        at_ms = event.wall_ms - self._offset_by_node[node]
        peer_offset_ms = self._offset_by_node[event.peer]
        position = bisect.bisect_right(
            candidates, at_ms, key=lambda candidate: candidate.wall_ms - peer_offset_ms
        )
        return candidates[max(0, position - 1)]


def _subject(event, kind, node, peer):
    return kind, event.request_id, event.revision, node, peer


def merge_timelines(timelines):
    """Return the events of all nodes in causal order, then by corrected time.

    Parameters
    ----------
    timelines : sequence of CollectedTimeline
        The collected events, one object per node.

    Returns
    -------
    entries : list of TimelineEntry
        Each node's events in their sequence, causes before their effects.
    """
    entries = _TimelineMerger(timelines).run()
    entries.sort(key=lambda entry: entry.at_ms)
    return entries


class _TimelineMerger:
    """Merges by appending, repeatedly, the earliest event whose cause was appended."""

    def __init__(self, timelines):
        self._timeline_by_node = {timeline.node: timeline for timeline in timelines}
        self._cause_index = _CauseIndex(timelines)
        self._position_by_node = dict.fromkeys(self._timeline_by_node, 0)
        self._last_by_node = {}
        self._entry_by_key = {}
        self._waiting_by_cause = collections.defaultdict(list)
        self._heap = []

    def run(self):
        for node in self._timeline_by_node:
            self._queue_next(node)
        while self._heap or self._waiting_by_cause:
            if not self._heap:
                self._break_cycle()
            _, node, sequence, cause = heapq.heappop(self._heap)
            self._append(node, self._entry_by_key.get(cause))
            for item in self._waiting_by_cause.pop((node, sequence), ()):
                heapq.heappush(self._heap, item)
            self._queue_next(node)
        return list(self._entry_by_key.values())

    def _queue_next(self, node):
        """Put the node's next event on the heap, or into the wait list of its cause."""
        timeline = self._timeline_by_node[node]
        position = self._position_by_node[node]
        if position == len(timeline.events):
            return
        event = timeline.events[position]
        cause = self._cause_index.find(node, event)
        item = (event.wall_ms - timeline.offset_ms, node, event.sequence, cause)
        if cause is None or cause in self._entry_by_key:
            heapq.heappush(self._heap, item)
        else:
            self._waiting_by_cause[cause].append(item)

    def _append(self, node, cause):
        timeline = self._timeline_by_node[node]
        event = timeline.events[self._position_by_node[node]]
        at_ms = event.wall_ms - timeline.offset_ms
        for earlier in (self._last_by_node.get(node), cause):
            if earlier is not None:
                at_ms = max(at_ms, earlier.at_ms)
        entry = TimelineEntry(node, event, at_ms, cause)
        self._entry_by_key[node, event.sequence] = entry
        self._last_by_node[node] = entry
        self._position_by_node[node] += 1

    def _break_cycle(self):
        """Put the earliest waiting event on the heap without its cause.

        The waiting events form a cycle, so at least one cause was matched wrongly.
        """
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
    entries : sequence of TimelineEntry
        A merged timeline.
    request_id : bytes or None
        Id of the request.
    revision : int or None
        Number of the revision; ignored if a request is given.
    """
    if request_id is not None:
        return [entry for entry in entries if entry.event.request_id == request_id]
    return [entry for entry in entries if entry.event.revision == revision]
