"""The revisions of the configuration that a node holds, takes and passes on.

A revision comes whole from the service or a peer, or as a change to the one in force.
Only a higher one that is valid replaces the one in force.
"""

import collections
import logging

from attrs import field, frozen

from peridotcove.assembly import Assembly
from peridotcove.configuration_parts import PartDescriptor, digest, make_part
from peridotcove.deltas import find_changes, make_delta, patch_parts
from peridotcove.exceptions import InvalidSettings, ProtocolError, SettingError
from peridotcove.manifests import Refused
from peridotcove.nodes.configuration_messages import (
    AskConfiguration,
    AskPart,
    AskRefused,
    Delta,
    Offer,
    PartData,
    RevisionRefused,
)
from peridotcove.nodes.network import Outgoing
from peridotcove.revision_fetcher import RevisionFetcher

HISTORY = 32
MAX_FAULTS = 20
MAX_FAULT_CHARS = 300
ASK_REFUSED_MS = 500

log = logging.getLogger("peridotcove.configuration")


@frozen
class _State:
    revision: int = 0
    part_by_name: dict = field(factory=dict)
    assembly: Assembly = Assembly()


class Revisions:
    """The revision in force, and what is known of later ones.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    rng : random.Random
        Spreads requests to peers over time.
    push_to : callable
        Returns the names of the nodes to which this one pushes changes.
    ask_at_start : callable
        Returns the names of the nodes to ask before this one is ready.

    Attributes
    ----------
    refused : Refused or None
        The last refused revision, while it is later than the one in force.
    """

    def __init__(self, clock, rng, push_to=tuple, ask_at_start=tuple):
        self.clock = clock
        self.refused = None
        self._push_to = push_to
        self._state = _State()
        self._history = collections.deque(maxlen=HISTORY)
        self._pulls = RevisionFetcher(clock, rng, ask_at_start)
        self._expected = 0
        self._ready = False
        self._confirmed_ms = None
        self._asked_refused_ms = None
        self._started_ms = clock.now()

    @property
    def revision(self):
        """The revision in force; 0 if none."""
        return self._state.revision

    @property
    def watch_after(self):
        """The revision after which the service is to be watched."""
        if self.refused is None or self.unreadable:
            return self.revision
        return max(self.revision, self.refused.revision)

    @property
    def refused_revision(self):
        """The refused revision; 0 if none is refused."""
        return 0 if self.refused is None else self.refused.revision

    @property
    def unreadable(self):
        """Whether the refused revision could not be read as its manifest says."""
        return self.refused is not None and not self.refused.final

    def current(self):
        """Return the configuration in force."""
        return self._state.assembly.configuration

    def ready(self):
        """Return whether one is in force, and service and peers were asked at start."""
        if not self._ready and self.revision and not self.expects_more():
            self._ready = self._pulls.started(self.revision)
        return self._ready

    def expect(self, revision):
        """Note the revision that the service had at this node's start.

        Parameters
        ----------
        revision : int
            The revision; without it, or a later one, the node is not ready.
        """
        self._expected = max(self._expected, revision)

    def expects_more(self):
        """Return whether the service had a later revision than this node has judged."""
        return self._expected > max(self.revision, self.refused_revision)

    def age_ms(self):
        """Return the time in ms since the service last answered a reader."""
        since = self._confirmed_ms
        return self.clock.now() - (self._started_ms if since is None else since)

    def confirm(self, ok=True):
        """Note that the service answered, or that it failed to.

        Parameters
        ----------
        ok : bool
            Whether it answered.
        """
        self._pulls.service_asked = True
        if ok:
            self._confirmed_ms = self.clock.now()

    def record_peer_confirmation(self):
        """Note that the zone's reader, another node, says that its reads succeed."""
        self._confirmed_ms = self.clock.now()

    def holds(self, name, pointer):
        """Return whether the published content of a part is held.

        Parameters
        ----------
        name : str
            Name of the part.
        pointer : Pointer
            Pointer from the service's manifest.
        """
        part = self._state.part_by_name.get(name)
        return part is not None and (
            (part.pointer.revision, part.pointer.published_digest)
            == (pointer.revision, pointer.published_digest)
        )

    def missing(self, manifest):
        """Return the names of the parts to read for a manifest.

        Parameters
        ----------
        manifest : Manifest
            From the service.
        """
        if manifest.revision <= self.watch_after:
            return []
        pointers = manifest.descriptor_by_name.items()
        return sorted(name for name, one in pointers if not self.holds(name, one))

    def apply_manifest(self, manifest, data_by_name):
        """Take a revision from the service and return the messages that pass it on.

        Parameters
        ----------
        manifest : Manifest
            What the service says.
        data_by_name : dict of bytes
            Published content of the parts that were missing.
        """
        if manifest.revision <= self.watch_after:
            return []
        parts, faults = {}, []
        for name, pointer in manifest.descriptor_by_name.items():
            if self.holds(name, pointer):
                parts[name] = self._state.part_by_name[name]
                continue
            data = data_by_name.get(name)
            if not data:
                faults.append(f"part {name} is missing")
            elif digest(data) != pointer.published_digest:
                faults.append(f"part {name} does not match its digest")
        if faults:
            return self._refuse(manifest.revision, faults, final=False)
        for name in data_by_name:
            pointer = manifest.descriptor_by_name[name]
            try:
                parts[name] = make_part(
                    name, pointer.revision, pointer.published_digest, data_by_name[name]
                )
            except ProtocolError as error:
                faults.append(f"part {name} {error}")
        if faults:
            return self._refuse(manifest.revision, faults)
        return self._replace(manifest.revision, parts)

    def record_peer_revision(self, peer, revision):
        """Note the revision that a frame from a peer carries.

        Parameters
        ----------
        peer : str
            Name of the sender.
        revision : int
            Its revision.
        """
        if self._wants(revision):
            self._pulls.record_peer_revision(peer, revision, self.revision)
        else:
            self._pulls.drop(peer)

    def handle_peer_refusal(self, peer, revision):
        """Note that a peer has refused a revision; return a request for the faults.

        Parameters
        ----------
        peer : str
            Name of the peer.
        revision : int
            The revision; 0 for none.
        """
        if revision <= max(self.revision, self.refused_revision):
            return []
        now = self.clock.now()
        asked_ms = self._asked_refused_ms
        if asked_ms is not None and now - asked_ms < ASK_REFUSED_MS:
            return []
        self._asked_refused_ms = now
        return [Outgoing(peer, AskRefused(revision))]

    def tick(self):
        """Return the messages that are due; called each 250 ms."""
        return self._pulls.tick(self.revision, self._wants)

    def receive(self, peer, message):
        """Take a message in and return the answers.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : object
            A message; those of other parts are ignored.
        """
        handler = self._HANDLERS.get(type(message))
        if handler is None:
            return []
        try:
            return handler(self, peer, message)
        except (ProtocolError, ValueError, TypeError, AttributeError) as error:
            log.warning("configuration: message from %s left out: %s", peer, error)
            return []

    def _receive_ask(self, peer, message):
        if 0 < message.base < self.revision:
            deltas = self._deltas_after(message.base)
            if deltas:
                return [Outgoing(peer, delta) for delta in deltas]
        parts = [
            [
                name,
                part.pointer.revision,
                part.pointer.published_digest,
                part.pointer.digest,
            ]
            for name, part in sorted(self._state.part_by_name.items())
        ]
        return [Outgoing(peer, Offer(self.revision, parts))]

    def _receive_delta(self, peer, message):
        if not self._wants(message.revision):
            return []
        if message.base != self.revision:
            self._pulls.record_peer_revision(peer, message.revision, self.revision)
            return self._pulls.ask_now(peer, self.revision)
        try:
            parts = patch_parts(self._state.part_by_name, message)
        except (ProtocolError, ValueError, TypeError, AttributeError) as error:
            log.warning("configuration: change from %s left out: %s", peer, error)
            self._pulls.record_peer_revision(peer, message.revision, self.revision)
            return self._pulls.ask_now(peer, 0)
        return self._replace(message.revision, parts)

    def _receive_offer(self, peer, message):
        self._pulls.answered(peer)
        if not self._wants(message.revision):
            return []
        pointers = {name: PartDescriptor(*rest) for name, *rest in message.parts}
        held = {
            name: part
            for name, part in self._state.part_by_name.items()
            if name in pointers and part.pointer.digest == pointers[name].digest
        }
        asks = self._pulls.begin(peer, message.revision, pointers, held)
        return asks or self._finish_pull()

    def _receive_ask_part(self, peer, message):
        part = self._state.part_by_name.get(message.name)
        same = part is not None and part.pointer.digest == message.digest
        data = part.data if same else b""
        return [Outgoing(peer, PartData(message.name, message.digest, data))]

    def _receive_part(self, peer, message):
        self._pulls.take(peer, message)
        return self._finish_pull()

    def _finish_pull(self):
        pulled = self._pulls.finish()
        if pulled is None or not self._wants(pulled.revision):
            return []
        return self._replace(pulled.revision, pulled.part_by_name)

    def _receive_refused(self, peer, message):
        if message.revision > max(self.revision, self.refused_revision):
            faults = tuple(str(line) for line in message.faults[:MAX_FAULTS])
            self.refused = Refused(message.revision, faults, message.final)
        return []

    def _receive_ask_refused(self, peer, message):
        if self.refused_revision != message.revision:
            return []
        return [Outgoing(peer, self._make_refusal())]

    def _wants(self, revision):
        # A refused revision is not wanted, but an earlier one may be.
        if self.refused is not None and revision == self.refused.revision:
            return self.unreadable
        return revision > self.revision

    _HANDLERS = {
        AskConfiguration: _receive_ask,
        Delta: _receive_delta,
        Offer: _receive_offer,
        AskPart: _receive_ask_part,
        PartData: _receive_part,
        RevisionRefused: _receive_refused,
        AskRefused: _receive_ask_refused,
    }

    def _replace(self, revision, parts):
        old = self._state
        try:
            changes = find_changes(old.part_by_name, parts)
            assembly = old.assembly.apply(revision, changes)
        except InvalidSettings as error:
            return self._refuse(revision, _list_faults(error))
        except ProtocolError as error:
            return self._refuse(revision, [str(error)])
        self._state = _State(revision, parts, assembly)
        if self.refused is not None and self.refused.revision <= revision:
            self.refused = None
        log.info("configuration: revision %d is in force", revision)
        delta = make_delta(old.revision, old.part_by_name, revision, parts, changes)
        if old.revision:
            self._history.append(delta)
        peers = self._push_to() if old.revision else ()
        return [Outgoing(peer, delta) for peer in peers]

    def _refuse(self, revision, faults, final=True):
        faults = tuple(line[:MAX_FAULT_CHARS] for line in faults[:MAX_FAULTS])
        self.refused = Refused(revision, faults, final)
        for line in faults:
            log.error("configuration: revision %d refused: %s", revision, line)
        return self._tell_refused()

    def _tell_refused(self):
        return [Outgoing(peer, self._make_refusal()) for peer in self._push_to()]

    def _make_refusal(self):
        refused = self.refused
        return RevisionRefused(refused.revision, list(refused.faults), refused.final)

    def _deltas_after(self, base):
        deltas = list(self._history)
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
