"""Holds the configuration revision in force, applies later ones and passes them on.

A revision is received whole from the service or a peer, or as a delta to the revision
in force. It replaces the revision in force only if it is later and valid.
"""

import collections
import logging

from attrs import field, frozen

from peridotcove.assembly import AssembledConfiguration
from peridotcove.configuration_parts import PartDescriptor, digest, make_part
from peridotcove.deltas import find_part_diffs, make_delta, patch_parts
from peridotcove.exceptions import InvalidSettings, ProtocolError, SettingError
from peridotcove.manifests import RefusedRevision
from peridotcove.nodes.configuration_messages import (
    AskConfiguration,
    AskPart,
    AskRefused,
    Delta,
    Offer,
    PartData,
    RevisionRefused,
)
from peridotcove.nodes.network import OutgoingMessage
from peridotcove.revision_fetcher import RevisionFetcher

MAX_DELTAS = 32
MAX_FAULTS = 20
MAX_FAULT_CHARS = 300
REFUSAL_REQUEST_GAP_MS = 500

log = logging.getLogger("peridotcove.configuration")


@frozen
class _ActiveRevision:
    revision: int = 0
    part_by_name: dict = field(factory=dict)
    assembly: AssembledConfiguration = AssembledConfiguration()


class Revisions:
    """The revision in force and the state of later revisions that are known.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    rng : random.Random
        Spreads requests to peers over time.
    push_to : callable
        Returns the names of the nodes to which this one pushes changes.
    start_peers : callable
        Returns the names of the nodes to query before this node is ready.

    Attributes
    ----------
    refused : RefusedRevision or None
        The last refused revision, as long as it is later than the one in force.
    """

    def __init__(self, clock, rng, push_to=tuple, start_peers=tuple):
        self.clock = clock
        self.refused = None
        self._push_to = push_to
        self._active = _ActiveRevision()
        self._deltas = collections.deque(maxlen=MAX_DELTAS)
        self._fetcher = RevisionFetcher(clock, rng, start_peers)
        self._expected_revision = 0
        self._ready = False
        self._confirmed_ms = None
        self._refusal_requested_ms = None
        self._started_ms = clock.now()

    @property
    def revision(self):
        """The revision in force; 0 if none."""
        return self._active.revision

    @property
    def parts(self):
        """Parts of the revision in force."""
        return self._active.part_by_name.values()

    @property
    def watch_after(self):
        """The revision after which the service is watched for a later one."""
        if self.refused is None or self.unreadable:
            return self.revision
        return max(self.revision, self.refused.revision)

    @property
    def refused_revision(self):
        """Number of the refused revision; 0 if none is refused."""
        return 0 if self.refused is None else self.refused.revision

    @property
    def unreadable(self):
        """Whether the refused revision did not match its manifest."""
        return self.refused is not None and not self.refused.final

    def current(self):
        """Return the configuration in force."""
        return self._active.assembly.configuration

    def ready(self):
        """Return whether a revision is in force and the start queries are complete."""
        if not self._ready and self.revision and not self.expects_later():
            self._ready = self._fetcher.is_start_complete(self.revision)
        return self._ready

    def set_expected(self, revision):
        """Set the revision that the service had when this node started.

        Parameters
        ----------
        revision : int
            The revision; the node is not ready until this or a later one was checked.
        """
        self._expected_revision = max(self._expected_revision, revision)

    def expects_later(self):
        """Return whether the service had a later revision than any checked here."""
        return self._expected_revision > max(self.revision, self.refused_revision)

    def age_ms(self):
        """Return the time in ms since the service last answered a reading node."""
        since = self._confirmed_ms
        return self.clock.now() - (self._started_ms if since is None else since)

    def record_read_result(self, ok=True):
        """Record whether a read from the service succeeded.

        Parameters
        ----------
        ok : bool
            Whether the service answered.
        """
        self._fetcher.service_contacted = True
        if ok:
            self._confirmed_ms = self.clock.now()

    def record_peer_confirmation(self):
        """Record that the zone's reading node, a peer, reports successful reads."""
        self._confirmed_ms = self.clock.now()

    def holds_part(self, name, descriptor):
        """Return whether this node holds the published content of a part.

        Parameters
        ----------
        name : str
            Name of the part.
        descriptor : PartDescriptor
            Descriptor from the service's manifest.
        """
        part = self._active.part_by_name.get(name)
        return part is not None and (
            (part.descriptor.revision, part.descriptor.published_digest)
            == (descriptor.revision, descriptor.published_digest)
        )

    def missing_parts(self, manifest):
        """Return the names of the parts that have to be read for a manifest.

        Parameters
        ----------
        manifest : Manifest
            Manifest from the service.
        """
        if not self.wants(manifest.revision):
            return []
        descriptors = manifest.descriptor_by_name.items()
        return sorted(
            name for name, one in descriptors if not self.holds_part(name, one)
        )

    def apply_manifest(self, manifest, data_by_name):
        """Apply a revision from the service and return the messages for other nodes.

        Parameters
        ----------
        manifest : Manifest
            Manifest from the service.
        data_by_name : dict of bytes
            Published content of the parts that were missing.
        """
        if not self.wants(manifest.revision):
            return []
        parts, faults = {}, []
        for name, descriptor in manifest.descriptor_by_name.items():
            if self.holds_part(name, descriptor):
                parts[name] = self._active.part_by_name[name]
                continue
            data = data_by_name.get(name)
            if not data:
                faults.append(f"part {name} is missing")
            elif digest(data) != descriptor.published_digest:
                faults.append(f"part {name} does not match its digest")
        if faults:
            return self._refuse(manifest.revision, faults, final=False)
        for name in data_by_name:
            descriptor = manifest.descriptor_by_name[name]
            try:
                parts[name] = make_part(
                    name,
                    descriptor.revision,
                    descriptor.published_digest,
                    data_by_name[name],
                )
            except ProtocolError as error:
                faults.append(f"part {name} {error}")
        if faults:
            return self._refuse(manifest.revision, faults)
        return self._replace(manifest.revision, parts)

    def record_peer_revision(self, peer, revision):
        """Record the revision that a peer has in force, as given in its frames.

        Parameters
        ----------
        peer : str
            Name of the sender.
        revision : int
            Its revision.
        """
        if self.wants(revision):
            self._fetcher.record_peer_revision(peer, revision, self.revision)
        else:
            self._fetcher.forget_peer(peer)

    def ignore_peer(self, peer):
        """Record that nothing can be fetched from a peer, whose answer isn't awaited.

        Parameters
        ----------
        peer : str
            Name of the peer.
        """
        self._fetcher.forget_peer(peer)
        self._fetcher.record_answer(peer)

    def handle_peer_refusal(self, peer, revision):
        """Handle a revision refused by a peer; return a request for its faults.

        Parameters
        ----------
        peer : str
            Name of the peer.
        revision : int
            The refused revision; 0 for none.
        """
        if revision <= max(self.revision, self.refused_revision):
            return []
        now = self.clock.now()
        asked_ms = self._refusal_requested_ms
        if asked_ms is not None and now - asked_ms < REFUSAL_REQUEST_GAP_MS:
            return []
        self._refusal_requested_ms = now
        return [OutgoingMessage(peer, AskRefused(revision))]

    def tick(self):
        """Return the messages that are due; called every 250 ms."""
        return self._fetcher.tick(self.revision, self.wants)

    def receive(self, peer, message):
        """Handle a message and return the replies.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : object
            The message; types that are not about the configuration are ignored.
        """
        handler = self._HANDLERS.get(type(message))
        if handler is None:
            return []
        try:
            return handler(self, peer, message)
        except (ProtocolError, ValueError, TypeError, AttributeError) as error:
            log.warning(
                "configuration: invalid message from %s ignored: %s", peer, error
            )
            return []

    def _handle_configuration_request(self, peer, message):
        if 0 < message.base < self.revision:
            deltas = self._deltas_after(message.base)
            if deltas:
                return [OutgoingMessage(peer, delta) for delta in deltas]
        parts = [
            [
                name,
                part.descriptor.revision,
                part.descriptor.published_digest,
                part.descriptor.digest,
            ]
            for name, part in sorted(self._active.part_by_name.items())
        ]
        return [OutgoingMessage(peer, Offer(self.revision, parts))]

    def _handle_delta(self, peer, message):
        if not self.wants(message.revision):
            return []
        if message.base != self.revision:
            self._fetcher.record_peer_revision(peer, message.revision, self.revision)
            return self._fetcher.request_now(peer, self.revision)
        try:
            parts = patch_parts(self._active.part_by_name, message)
        except (ProtocolError, ValueError, TypeError, AttributeError) as error:
            log.warning(
                "configuration: delta from %s not applied; requesting all parts: %s",
                peer,
                error,
            )
            self._fetcher.record_peer_revision(peer, message.revision, self.revision)
            return self._fetcher.request_now(peer, 0)
        return self._replace(message.revision, parts)

    def _handle_offer(self, peer, message):
        self._fetcher.record_answer(peer)
        if not self.wants(message.revision):
            return []
        descriptors = {name: PartDescriptor(*rest) for name, *rest in message.parts}
        held = {
            name: part
            for name, part in self._active.part_by_name.items()
            if name in descriptors
            and part.descriptor.digest == descriptors[name].digest
        }
        requests = self._fetcher.start_fetch(peer, message.revision, descriptors, held)
        return requests or self._finish_fetch()

    def _handle_part_request(self, peer, message):
        part = self._active.part_by_name.get(message.name)
        same = part is not None and part.descriptor.digest == message.digest
        data = part.data if same else b""
        return [OutgoingMessage(peer, PartData(message.name, message.digest, data))]

    def _handle_part_data(self, peer, message):
        self._fetcher.handle_part_data(peer, message)
        return self._finish_fetch()

    def _finish_fetch(self):
        fetch = self._fetcher.finish_fetch()
        if fetch is None or not self.wants(fetch.revision):
            return []
        return self._replace(fetch.revision, fetch.part_by_name)

    def _handle_refusal(self, peer, message):
        if message.revision > max(self.revision, self.refused_revision):
            faults = tuple(str(line) for line in message.faults[:MAX_FAULTS])
            self.refused = RefusedRevision(message.revision, faults, message.final)
        return []

    def _handle_refusal_request(self, peer, message):
        if self.refused_revision != message.revision:
            return []
        return [OutgoingMessage(peer, self._make_refusal())]

    def wants(self, revision):
        """Return whether a revision should replace the one in force.

        A refused revision is not fetched again, but an earlier valid one may be.

        Parameters
        ----------
        revision : int
            The revision.
        """
        if self.refused is not None and revision == self.refused.revision:
            return self.unreadable
        return revision > self.revision

    _HANDLERS = {
        AskConfiguration: _handle_configuration_request,
        Delta: _handle_delta,
        Offer: _handle_offer,
        AskPart: _handle_part_request,
        PartData: _handle_part_data,
        RevisionRefused: _handle_refusal,
        AskRefused: _handle_refusal_request,
    }

    def _replace(self, revision, parts):
        old = self._active
        try:
            changes = find_part_diffs(old.part_by_name, parts)
            assembly = old.assembly.apply(revision, changes)
        except InvalidSettings as error:
            return self._refuse(revision, _list_faults(error))
        except ProtocolError as error:
            return self._refuse(revision, [str(error)])
        self._active = _ActiveRevision(revision, parts, assembly)
        self._fetcher.record_progress()
        if self.refused is not None and self.refused.revision <= revision:
            self.refused = None
        log.info("configuration: revision %d is in force", revision)
        delta = make_delta(old.revision, old.part_by_name, revision, parts, changes)
        if old.revision:
            self._deltas.append(delta)
        peers = self._push_to() if old.revision else ()
        return [OutgoingMessage(peer, delta) for peer in peers]

    def _refuse(self, revision, faults, final=True):
        faults = tuple(line[:MAX_FAULT_CHARS] for line in faults[:MAX_FAULTS])
        self.refused = RefusedRevision(revision, faults, final)
        for line in faults:
            log.error("configuration: revision %d refused: %s", revision, line)
        return self._make_refusal_messages()

    def _make_refusal_messages(self):
        return [OutgoingMessage(peer, self._make_refusal()) for peer in self._push_to()]

    def _make_refusal(self):
        refused = self.refused
        return RevisionRefused(refused.revision, list(refused.faults), refused.final)

    def _deltas_after(self, base):
        deltas = list(self._deltas)
        for index, delta in enumerate(deltas):
            if delta.base == base:
                return deltas[index:]
        return []


def _list_faults(error):
    lines = []
    for fault in error.exceptions:
        if isinstance(fault, InvalidSettings):
            lines += _list_faults(fault)
        elif isinstance(fault, SettingError):
            lines.append(str(fault))
    return lines
