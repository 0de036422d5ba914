"""What this node knows of the builds of its peers, and which messages they read.

A build says its protocol when a link opens; see docs/design/upgrades.md. Those before
protocol 3 say none, and close a link at a message that they don't know.
"""

from attrs import define, field

from peridotcove.exceptions import IncompatiblePeer, PeerTooOld
from peridotcove.logs import get_logger
from peridotcove.nodes.messages import OLDEST_PROTOCOL, PROTOCOL, ShareVersions
from peridotcove.nodes.relay_messages import OpenRelay, RelayedNotice, RelayEnded

# First protocol whose builds say it, and ignore messages that they don't know.
ANNOUNCED_PROTOCOL = 3
# Messages that only some builds of the protocol before know.
UNCERTAIN_KINDS = (ShareVersions, OpenRelay, RelayEnded, RelayedNotice)
# Protocols of builds that say none, by whether they read compressed frames.
COMPRESSING_PROTOCOL, FIRST_PROTOCOL = 2, 1
# Time in ms in which a build that says no protocol has closed the link at a message
# that it does not know.
CLOSE_DELAY_MS = 500

log = get_logger("links")


@define
class PeerBuild:
    """Build of one peer, as its process said it when a link opened.

    Attributes
    ----------
    node, zone : str
        Name and zone of the node.
    incarnation : int
        Wall time in ms at which its process started.
    build : str
        Build of the program; empty if it doesn't say.
    protocol, oldest_protocol : int
        Protocol that it speaks, and the oldest one of peers that it works with.
    refusal : str
        Why links with it are refused; empty if they aren't.
    """

    node: str
    zone: str
    incarnation: int
    build: str
    protocol: int
    oldest_protocol: int
    refusal: str = ""
    _first_sent_ms_by_kind: dict = field(factory=dict)
    _unknown_kinds: set = field(factory=set)
    _ignored_codes: set = field(factory=set)

    def reads(self, kind):
        """Return whether the peer reads a class of messages, as far as is known."""
        if self.refusal:
            # The next dial shows whether another build runs there by now.
            return True
        return self.protocol >= kind.SINCE and kind not in self._unknown_kinds

    def record_sent(self, kind, now):
        """Record that a message of a class was sent."""
        if self.protocol < ANNOUNCED_PROTOCOL and kind in UNCERTAIN_KINDS:
            self._first_sent_ms_by_kind.setdefault(kind, now)

    def find_unknown_kinds(self, now):
        """Return the classes after which the peer has closed the link just now."""
        kinds = {
            kind
            for kind, sent_ms in self._first_sent_ms_by_kind.items()
            if now - sent_ms <= CLOSE_DELAY_MS
        }
        found = kinds - self._unknown_kinds
        self._unknown_kinds |= found
        return found

    def is_new_code(self, code):
        """Return whether the peer sent a message of an unknown code for the first time.

        Parameters
        ----------
        code : int
            Code of the message.
        """
        is_new = code not in self._ignored_codes
        self._ignored_codes.add(code)
        return is_new


def make_peer_build(hello):
    """Return the `PeerBuild` of a peer.

    Parameters
    ----------
    hello : Hello
        Message of the peer.
    """
    inferred = COMPRESSING_PROTOCOL if hello.accepts_compressed else FIRST_PROTOCOL
    protocol = hello.protocol or inferred
    return PeerBuild(
        hello.node,
        hello.zone,
        hello.incarnation,
        hello.build,
        protocol,
        hello.oldest_protocol,
        _find_refusal(protocol, hello.oldest_protocol),
    )


def _find_refusal(protocol, oldest_protocol):
    if oldest_protocol > PROTOCOL:
        return (
            f"it needs peers of protocol {oldest_protocol} or later; "
            f"this build speaks {PROTOCOL}"
        )
    if protocol < OLDEST_PROTOCOL:
        return (
            f"it speaks protocol {protocol}; "
            f"this build needs peers of {OLDEST_PROTOCOL} or later"
        )
    return ""


class PeerBuilds:
    """Builds of the peers of one node.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    by_name : dict of PeerBuild
        Build of each peer that has opened or accepted a link, by name.
    """

    def __init__(self, clock):
        self.by_name = {}
        self._clock = clock

    def record_hello(self, hello):
        """Record what a peer said of itself when a link opened.

        Parameters
        ----------
        hello : Hello
            Its message.

        Raises
        ------
        IncompatiblePeer
            If the peer and this node can't work together.
        """
        peer = make_peer_build(hello)
        known = self.by_name.get(peer.node)
        is_same = known is not None and (
            (known.incarnation, known.build, known.protocol, known.oldest_protocol)
            == (peer.incarnation, peer.build, peer.protocol, peer.oldest_protocol)
        )
        if not is_same:
            self.by_name[peer.node] = peer
            _log_build(peer)
        if peer.refusal:
            raise IncompatiblePeer(f"node {peer.node!r}: {peer.refusal}")

    def find_protocol(self, name):
        """Return the protocol that a peer speaks; that of this build if it's unknown.

        Parameters
        ----------
        name : str
            Name of the peer.
        """
        peer = self.by_name.get(name)
        return PROTOCOL if peer is None else peer.protocol

    def check_readable(self, name, kind):
        """Raise `PeerTooOld` if a peer is known not to read a class of messages.

        Parameters
        ----------
        name : str
            Name of the peer.
        kind : type
            Class of the message.
        """
        peer = self.by_name.get(name)
        if peer is not None and not peer.reads(kind):
            raise PeerTooOld(f"node {name!r} does not know {kind.__name__}")

    def record_sent(self, name, kind):
        """Record that a message was sent on an open link.

        Parameters
        ----------
        name : str
            Name of the peer.
        kind : type
            Class of the message.
        """
        peer = self.by_name.get(name)
        if peer is not None:
            peer.record_sent(kind, self._clock.now())

    def record_closed(self, name):
        """Record that a peer has closed the link to it.

        Parameters
        ----------
        name : str
            Name of the peer.
        """
        peer = self.by_name.get(name)
        if peer is None:
            return
        for kind in peer.find_unknown_kinds(self._clock.now()):
            log.warning(
                "%s closed the link after %s and gets no more of them; its build may "
                "not know it",
                name,
                kind.__name__,
            )

    def record_unknown_message(self, name, code):
        """Record that a message was ignored since this build does not know its code.

        Parameters
        ----------
        name : str
            Name of the sender.
        code : int
            Code of the message.
        """
        peer = self.by_name.get(name)
        if peer is not None and peer.is_new_code(code):
            log.info("messages of %s with the unknown code %d are ignored", name, code)

    def keep(self, names):
        """Forget all peers but those with the given names.

        Parameters
        ----------
        names : collection of str
            Names of the nodes that links are kept to.
        """
        for name in self.by_name.keys() - set(names):
            del self.by_name[name]

    def describe(self):
        """Return the builds of all peers as a list for JSON, by name."""
        return [
            {
                "node": peer.node,
                "zone": peer.zone,
                "build": peer.build,
                "protocol": peer.protocol,
                "refused": peer.refusal,
            }
            for _, peer in sorted(self.by_name.items())
        ]


def _log_build(peer):
    if peer.refusal:
        log.error(
            "links with %s, build %s, are refused: %s",
            peer.node,
            peer.build or "unnamed",
            peer.refusal,
        )
        return
    log.info(
        "node %s runs build %s, protocol %d",
        peer.node,
        peer.build or "unnamed",
        peer.protocol,
    )
