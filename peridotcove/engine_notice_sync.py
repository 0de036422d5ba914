"""Puts the notices of engines in force at this node and tells the owners of engines."""

from attrs import evolve

from peridotcove.engine_notices import Notice, find_pause_ms
from peridotcove.lease_client import MAX_OWNERS
from peridotcove.nodes.leaving_messages import EndpointsLeaving
from peridotcove.nodes.network import OutgoingMessage
from peridotcove.nodes.relay_messages import RelayedNotice

NO_INCARNATION = 0


class EngineNoticeSync:
    """Handles notices that answers bring, and reports of them by other nodes.

    An owner that knows that an engine leaves grants no lease on it to any node, and few
    if it knows that it is cold. So only the owners of its shard are told, at once: the
    report is on its way before the end of the request.

    Parameters
    ----------
    node : str
        Name of this node.
    notices : EngineNotices
        Notices in force at this node.
    fleet : FleetView
        The node's view of the fleet.
    metrics : Metrics
        The node's metrics.
    timeline : Timeline
        Records the node's events.
    send_all : callable
        Sends a list of `OutgoingMessage`.
    on_change : callable
        Called without arguments when an engine is new among those that leave.
    """

    def __init__(self, node, notices, fleet, metrics, timeline, send_all, on_change):
        self.notices = notices
        self._node = node
        self._fleet = fleet
        self._metrics = metrics
        self._timeline = timeline
        self._send_all = send_all
        self._on_change = on_change

    def handle_answer(self, engine, notice, request_id=b"", relay=""):
        """Handle the notice of an answer.

        Parameters
        ----------
        engine : Engine
            The engine as it was when the request was sent.
        notice : Notice
            The notice.
        request_id : bytes
            Id of the request, for the log.
        relay : str
            Name of the node through which the request went; empty for none.
        """
        if notice.max_refusals is not None:
            pause_ms = find_pause_ms(notice.max_refusals, len(self._fleet.nodes))
            notice = evolve(notice, pause_ms=max(notice.pause_ms, pause_ms))
        if relay and (notice.pause_ms or notice.is_leaving):
            message = RelayedNotice(
                engine.name, engine.incarnation, notice.is_leaving, notice.pause_ms
            )
            self._send_all([OutgoingMessage(relay, message)])
        is_news = self.notices.record(engine, notice)
        if notice.fault:
            self._metrics.notice_faults.labels(engine.name).inc()
            self._record("engine-notice-invalid", engine, request_id, notice.fault)
        if notice.pause_ms:
            self._metrics.engine_pauses.labels(engine.name).inc()
            text = f"{notice.pause_ms} ms"
            self._record("engine-paused", engine, request_id, text)
        key = engine.name, engine.incarnation
        if notice.cold_ms and self.notices.record_cold(key, notice.cold_ms):
            text = f"{notice.cold_ms} ms"
            self._record("engine-turned-cold", engine, request_id, text)
            self._on_change()
            message = _make_cold_message([(*key, notice.cold_ms)])
            self._send_all(self._make_reports([engine.name], message))
        if is_news:
            self._metrics.engines_leaving.labels(engine.name).inc()
            self._record("engine-leaving", engine, request_id)
            self._on_change()
            self._send_all(self._make_reports([engine.name], _make_message([key])))

    def receive_relayed(self, peer, message):
        """Handle the notice of an answer that this node has relayed.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : RelayedNotice
            The notice.
        """
        engine = self._fleet.configuration.engine_by_name.get(message.engine)
        if engine is not None and engine.incarnation == message.incarnation:
            pause_ms = max(0, message.pause_ms)
            self.handle_answer(engine, Notice(message.is_leaving, pause_ms))

    def receive(self, peer, message):
        """Handle a report of another node.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : EndpointsLeaving
            The report, with incarnations.
        """
        keys = [
            (name, incarnation)
            for name, incarnation in zip(
                message.names, message.incarnations, strict=False
            )
            if type(name) is str and type(incarnation) is int
        ]
        new_names = [name for name, _ in self.notices.handle_report(keys)]
        if new_names:
            inputs = {"engines": new_names}
            self._timeline.record("engine-leaving", inputs, peer=peer)
            self._on_change()
        self._receive_cold(peer, message.cold)

    def _receive_cold(self, peer, items):
        new_names = [
            item[0]
            for item in items
            if _is_cold_item(item)
            and self.notices.record_cold(tuple(item[:2]), item[2])
        ]
        if new_names:
            inputs = {"engines": new_names}
            self._timeline.record("engine-turned-cold", inputs, peer=peer)
            self._on_change()

    def make_report(self, peer):
        """Return the messages that tell a node of all engines that leave or are cold.

        Parameters
        ----------
        peer : str
            Name of the node.
        """
        messages = []
        keys = self.notices.leaving_keys()
        if keys:
            messages.append(OutgoingMessage(peer, _make_message(keys)))
        cold = self.notices.list_cold()
        if cold:
            messages.append(OutgoingMessage(peer, _make_cold_message(cold)))
        return messages

    def leaving_names(self):
        """Return the names of the engines that leave by a notice."""
        return [name for name, _ in self.notices.leaving_keys()]

    def _make_reports(self, names, message):
        shards = self._fleet.shard_by_name.values()
        owners = {
            owner
            for shard in shards
            if not set(names).isdisjoint(shard.engines)
            for owner in self._fleet.rank_owners(shard.name)[:MAX_OWNERS]
        }
        return [
            OutgoingMessage(owner, message) for owner in sorted(owners - {self._node})
        ]

    def _record(self, kind, engine, request_id, detail=""):
        inputs = {"incarnation": engine.incarnation}
        self._timeline.record(
            kind, inputs, request_id=request_id, peer=engine.name, detail=detail
        )


def _make_message(keys):
    names = [name for name, _ in keys]
    return EndpointsLeaving(names, incarnations=[number for _, number in keys])


def _make_cold_message(items):
    # A node that does not know the last field reads a list of no engine that leaves.
    return EndpointsLeaving(
        [], incarnations=[NO_INCARNATION], cold=[list(item) for item in items]
    )


def _is_cold_item(item):
    return (
        isinstance(item, list)
        and [type(one) for one in item] == [str, int, int]
        and item[2] > 0
    )
