"""Links in memory between nodes, with faults drawn from a seed, on a fake clock."""

import heapq
import itertools

from attrs import evolve, frozen

from peridotcove.exceptions import LinkDown
from peridotcove.nodes import messages
from peridotcove.nodes.network import Network

SEGMENT_BYTES = 1448
SEGMENT_HEAD_BYTES = 52
FRAME_HEAD_BYTES = 8
DELAYED_ACK_MS = 40


@frozen
class Faults:
    """What a link does to messages.

    Attributes
    ----------
    drop, duplicate : float
        Probability that a message is lost, or arrives twice.
    delay_ms : tuple of int
        Shortest and longest delay; a range wider than the gap between two messages
        reorders them.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    delay_ms: tuple = (1, 3)


class Host(Network):
    """One node's end of the links.

    Parameters
    ----------
    links : Links
        All links.
    name : str
        Name of the node.

    Attributes
    ----------
    revision : int
        Configuration revision that frames carry.
    on_revision : callable or None
        Called with the peer's name and revision before each message.
    bytes_in, bytes_out : int
        Bytes on the wire, heads and acknowledgements included.
    frames_out : int
        Messages sent.
    """

    def __init__(self, links, name):
        super().__init__()
        self.links = links
        self.name = name
        self.revision = 0
        self.on_revision = None
        self.bytes_in = 0
        self.bytes_out = 0
        self.frames_out = 0

    def send(self, peer, message):
        """Send a message; see `Network.send`.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            The message.
        """
        if peer not in self.links.host_by_name:
            raise LinkDown(f"no link to {peer}")
        self.frames_out += 1
        self.links.carry(self, peer, messages.encode(message, self.revision))

    def deliver(self, peer, frame):
        """Pass a frame on to the node.

        Parameters
        ----------
        peer : str
            Name of the sender.
        frame : bytes
            The frame.
        """
        item, revision = messages.decode(frame)
        if self.on_revision is not None:
            self.on_revision(peer, revision)
        if self.on_message is not None:
            self.on_message(peer, item)


class Links:
    """All links of a fleet, and the timers of its nodes.

    Parameters
    ----------
    clock : FakeClock
        Advanced by `run`.
    rng : random.Random
        Draws the faults.
    faults : Faults
        Holds for links without faults of their own.
    """

    def __init__(self, clock, rng, faults=None):
        self.clock = clock
        self.rng = rng
        self.faults = faults or Faults()
        self.faults_by_pair = {}
        self.host_by_name = {}
        self.side_by_name = {}
        self.silent = set()
        self.paused = {}
        self.down = set()
        self._events = []
        self._numbers = itertools.count()
        self._acks = {}

    def attach(self, name):
        """Return the end of a node; a new one replaces that of its last process.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self.host_by_name[name] = Host(self, name)
        self.down.discard(name)
        self.paused.pop(name, None)
        return self.host_by_name[name]

    def set_faults(self, pairs, **changes):
        """Change the faults of links, in one direction each.

        Parameters
        ----------
        pairs : iterable of tuple of str
            Sender and receiver.
        **changes : object
            Attributes of `Faults`.
        """
        for pair in pairs:
            old = self.faults_by_pair.get(pair, self.faults)
            self.faults_by_pair[pair] = evolve(old, **changes)

    def silence(self, one, other, both=True):
        """Let open connections of two nodes go silent for good.

        Parameters
        ----------
        one, other : str
            Names of the nodes; the connection that the first dialed goes silent.
        both : bool
            Whether that of the other goes silent too.
        """
        self.silent.add((one, other))
        if both:
            self.silent.add((other, one))

    def reconnect(self, one, other):
        """Let a node dial another anew.

        Parameters
        ----------
        one, other : str
            The node, and the one that it dials.
        """
        self.silent.discard((one, other))

    def partition(self, *sides):
        """Part the network; nodes of no side are together on one more.

        Parameters
        ----------
        *sides : iterable of str
            Names of the nodes of each side.
        """
        self.side_by_name = {
            name: number for number, side in enumerate(sides, 1) for name in side
        }

    def heal(self):
        """End partitions, silence and faults of single links."""
        self.side_by_name = {}
        self.silent.clear()
        self.faults_by_pair.clear()

    def pause(self, name):
        """Stop a process; what arrives waits for it.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self.paused.setdefault(name, [])

    def resume(self, name):
        """Let a paused process go on, first with what has arrived.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        for event in self.paused.pop(name, []):
            _, _, host, call = event
            self._push(0, host, call)

    def stop(self, name):
        """End a process.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self.down.add(name)
        self.paused.pop(name, None)

    def later(self, delay_ms, name, call):
        """Call a function later, on a node's process.

        Parameters
        ----------
        delay_ms : int
            Delay in ms.
        name : str or None
            Node that must be up; without one the call is made in any case.
        call : callable
            Function without parameters.
        """
        self._push(delay_ms, self.host_by_name.get(name), call)

    def every(self, period_ms, name, call):
        """Call a function again and again while a node's process lasts.

        Parameters
        ----------
        period_ms : int
            Time between two calls in ms.
        name : str
            Name of the node.
        call : callable
            Function without parameters.
        """

        def again():
            call()
            self._push(period_ms, host, again)

        host = self.host_by_name[name]
        self._push(self.rng.randrange(period_ms), host, again)

    def carry(self, sender, receiver, frame):
        """Carry a frame, as far as the faults let it through.

        Parameters
        ----------
        sender : Host
            End that sends.
        receiver : str
            Name of the receiving node.
        frame : bytes
            The frame.
        """
        size = count_wire_bytes(len(frame))
        sender.bytes_out += size
        faults = self.faults_by_pair.get((sender.name, receiver), self.faults)
        copies = 1 + (self.rng.random() < faults.duplicate)
        for _ in range(copies):
            if self.rng.random() < faults.drop:
                continue
            delay = self.rng.randint(*faults.delay_ms)
            target = self.host_by_name[receiver]
            arrive = self._arrival(sender.name, target, frame, size)
            self._push(delay, target, arrive)

    def run(self, ms):
        """Advance the clock through all events of a time.

        Parameters
        ----------
        ms : int
            Length in ms.
        """
        end = self.clock.now() + ms
        while self._events and self._events[0][0] <= end:
            event = heapq.heappop(self._events)
            self.clock.advance(max(0, event[0] - self.clock.now()))
            self._call(event)
        self.clock.advance(end - self.clock.now())

    def open(self, sender, receiver):
        """Return whether frames pass from one node to another.

        Parameters
        ----------
        sender, receiver : str
            Names of the nodes.
        """
        sides = self.side_by_name
        if sides.get(sender, 0) != sides.get(receiver, 0):
            return False
        return (sender, receiver) not in self.silent

    def _call(self, event):
        _, _, host, call = event
        name = host.name if host is not None else None
        if name is not None:
            if name in self.down or self.host_by_name[name] is not host:
                return
            if name in self.paused:
                self.paused[name].append(event)
                return
        call()

    def _arrival(self, sender, target, frame, size):
        def arrive():
            if not self.open(sender, target.name):
                return
            target.bytes_in += size
            self._acknowledge(target, sender)
            target.deliver(sender, frame)

        return arrive

    def _acknowledge(self, target, sender):
        # Each direction has a connection of its own, so nothing carries an
        # acknowledgement along; one answers for all segments of a short time.
        pair = (target.name, sender)
        if pair in self._acks:
            return
        self._acks[pair] = True
        self._push(DELAYED_ACK_MS, None, lambda: self._send_ack(pair))

    def _send_ack(self, pair):
        if self._acks.pop(pair, None) is None:
            return
        self.host_by_name[pair[0]].bytes_out += SEGMENT_HEAD_BYTES
        self.host_by_name[pair[1]].bytes_in += SEGMENT_HEAD_BYTES

    def _push(self, delay_ms, host, call):
        at_ms = self.clock.now() + delay_ms
        event = (at_ms, next(self._numbers), host, call)
        heapq.heappush(self._events, event)


def count_wire_bytes(size):
    """Return the bytes of a frame on the wire, with all heads.

    Parameters
    ----------
    size : int
        Bytes of the frame.
    """
    size += FRAME_HEAD_BYTES
    segments = -(-size // SEGMENT_BYTES)
    return size + segments * SEGMENT_HEAD_BYTES
