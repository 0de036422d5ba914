"""Simulated links between nodes, with seeded random faults, on a simulated clock."""

import heapq
import itertools

from attrs import evolve, frozen

from peridotcove.exceptions import LinkDown
from peridotcove.nodes import messages
from peridotcove.nodes.network import Network

SEGMENT_BYTES = 1448
SEGMENT_HEADER_BYTES = 52
FRAME_HEADER_BYTES = 8
DELAYED_ACK_MS = 40


@frozen
class Faults:
    """Faults of a link.

    Attributes
    ----------
    drop, duplicate : float
        Probability that a message is lost, or is delivered twice.
    delay_ms : tuple of int
        Minimum and maximum delay; a range wider than the gap between two messages
        can reorder them.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    delay_ms: tuple = (1, 3)


class MemoryNetwork(Network):
    """Network of one node: its side of the simulated links.

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
        Bytes on the wire, with headers and acknowledgements.
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
        if peer not in self.links.network_by_name:
            raise LinkDown(f"no link to {peer}")
        self.frames_out += 1
        self.links.transmit(self, peer, messages.encode(message, self.revision))

    def deliver(self, peer, frame):
        """Deliver a frame to the node.

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
        Clock that `run` advances.
    rng : random.Random
        Random generator of the faults.
    faults : Faults
        Faults of the links that `set_faults` did not change.
    """

    def __init__(self, clock, rng, faults=None):
        self.clock = clock
        self.rng = rng
        self.faults = faults or Faults()
        self.faults_by_pair = {}
        self.network_by_name = {}
        self.side_by_name = {}
        self.silent = set()
        self.paused = {}
        self.down = set()
        self._events = []
        self._numbers = itertools.count()
        self._pending_acks = {}

    def attach(self, name):
        """Connect a new process of a node and return its network.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self.network_by_name[name] = MemoryNetwork(self, name)
        self.down.discard(name)
        self.paused.pop(name, None)
        return self.network_by_name[name]

    def set_faults(self, pairs, **changes):
        """Change the faults of links; each pair is one direction.

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

    def silence(self, dialer, dialed, both=True):
        """Silently drop all frames on the open connections of two nodes.

        Parameters
        ----------
        dialer, dialed : str
            Names of the nodes; the connection that `dialer` opened is affected.
        both : bool
            Whether the connection that `dialed` opened is affected too.
        """
        self.silent.add((dialer, dialed))
        if both:
            self.silent.add((dialed, dialer))

    def reconnect(self, dialer, dialed):
        """Replace the connection that a node opened to a peer.

        Parameters
        ----------
        dialer, dialed : str
            Names of the node and of the peer that it dials.
        """
        self.silent.discard((dialer, dialed))

    def partition(self, *sides):
        """Partition the network; all unnamed nodes form one more side.

        Parameters
        ----------
        *sides : iterable of str
            Names of the nodes of each side.
        """
        self.side_by_name = {
            name: number for number, side in enumerate(sides, 1) for name in side
        }

    def heal(self):
        """Remove partitions, silent connections and faults of single links."""
        self.side_by_name = {}
        self.silent.clear()
        self.faults_by_pair.clear()

    def pause(self, name):
        """Pause a process; its events are queued until it resumes.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self.paused.setdefault(name, [])

    def resume(self, name):
        """Resume a paused process, which first handles the queued events.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        for event in self.paused.pop(name, []):
            _, _, network, call = event
            self._schedule(0, network, call)

    def stop(self, name):
        """Stop a process; its pending events are dropped.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self.down.add(name)
        self.paused.pop(name, None)

    def call_later(self, delay_ms, name, call):
        """Call a function after a delay, in a node's process.

        Parameters
        ----------
        delay_ms : int
            Delay in ms.
        name : str or None
            Node whose process must still run; None for an unconditional call.
        call : callable
            Function without parameters.
        """
        self._schedule(delay_ms, self.network_by_name.get(name), call)

    def call_every(self, period_ms, name, call):
        """Call a function periodically as long as a node's process runs.

        Parameters
        ----------
        period_ms : int
            Time between two calls in ms.
        name : str
            Name of the node.
        call : callable
            Function without parameters.
        """

        def repeat():
            call()
            self._schedule(period_ms, network, repeat)

        network = self.network_by_name[name]
        self._schedule(self.rng.randrange(period_ms), network, repeat)

    def transmit(self, sender, receiver, frame):
        """Transmit a frame, subject to the faults of the link.

        Parameters
        ----------
        sender : MemoryNetwork
            Network of the sending node.
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
            target = self.network_by_name[receiver]
            arrive = self._make_delivery(sender.name, target, frame, size)
            self._schedule(delay, target, arrive)

    def run(self, ms):
        """Advance the clock and run all events that become due.

        Parameters
        ----------
        ms : int
            Time to advance in ms.
        """
        end = self.clock.now() + ms
        while self._events and self._events[0][0] <= end:
            event = heapq.heappop(self._events)
            self.clock.advance(max(0, event[0] - self.clock.now()))
            self._run_event(event)
        self.clock.advance(end - self.clock.now())

    def is_open(self, sender, receiver):
        """Return whether frames of one node reach another.

        Parameters
        ----------
        sender, receiver : str
            Names of the nodes.
        """
        sides = self.side_by_name
        if sides.get(sender, 0) != sides.get(receiver, 0):
            return False
        return (sender, receiver) not in self.silent

    def _run_event(self, event):
        _, _, network, call = event
        name = network.name if network is not None else None
        if name is not None:
            if name in self.down or self.network_by_name[name] is not network:
                return
            if name in self.paused:
                self.paused[name].append(event)
                return
        call()

    def _make_delivery(self, sender, target, frame, size):
        def arrive():
            if not self.is_open(sender, target.name):
                return
            target.bytes_in += size
            self._acknowledge(target, sender)
            target.deliver(sender, frame)

        return arrive

    def _acknowledge(self, target, sender):
        # Each direction has its own connection, so no data carries the
        # acknowledgement. A delayed ACK covers all segments of `DELAYED_ACK_MS`.
        pair = (target.name, sender)
        if pair in self._pending_acks:
            return
        self._pending_acks[pair] = True
        self._schedule(DELAYED_ACK_MS, None, lambda: self._send_ack(pair))

    def _send_ack(self, pair):
        if self._pending_acks.pop(pair, None) is None:
            return
        self.network_by_name[pair[0]].bytes_out += SEGMENT_HEADER_BYTES
        self.network_by_name[pair[1]].bytes_in += SEGMENT_HEADER_BYTES

    def _schedule(self, delay_ms, network, call):
        at_ms = self.clock.now() + delay_ms
        event = (at_ms, next(self._numbers), network, call)
        heapq.heappush(self._events, event)


def count_wire_bytes(size):
    """Return the bytes of a frame on the wire, with all headers.

    Parameters
    ----------
    size : int
        Bytes of the frame.
    """
    size += FRAME_HEADER_BYTES
    segments = -(-size // SEGMENT_BYTES)
    return size + segments * SEGMENT_HEADER_BYTES
