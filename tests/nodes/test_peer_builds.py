"""Links between builds that know different messages, over real sockets."""

import asyncio
import unittest

from peridotcove.clock import Clock
from peridotcove.exceptions import PeerTooOld, ProtocolError
from peridotcove.models import Instance
from peridotcove.nodes.handshake import Identity
from peridotcove.nodes.links import LinkManager
from peridotcove.nodes.messages import (
    OLDEST_PROTOCOL,
    PROTOCOL,
    QueueLease,
    ShareOrigins,
    ShareVersions,
    decode,
    message,
    messages,
)
from peridotcove.nodes.peer_builds import ANNOUNCED_PROTOCOL
from peridotcove.nodes.relay_messages import OpenRelay

SECRET = b"a secret of the tests"
TIMEOUT_S = 10
NEW_CODE = 9_999
ORIGINS = ShareOrigins("llm", "v1", b"")
VERSIONS = ShareVersions([])


class OlderLinks(LinkManager):
    """Links of a build that says no protocol, and closes them at unknown messages.

    Parameters
    ----------
    name : str
        Name of the node.
    unknown : tuple of type
        Classes of messages that it does not know.
    """

    def __init__(self, name, unknown=()):
        super().__init__(Identity(name, "a", 1, "", 0, 0), SECRET, Clock())
        self.unknown = unknown
        self.closed_count = 0

    def _handle_frame(self, peer, socket, frame):
        item, _ = decode(frame)
        if isinstance(item, self.unknown):
            self.closed_count += 1
            raise ProtocolError(f"unknown message code {item.CODE}")
        super()._handle_frame(peer, socket, frame)


class PeerBuildsTest(unittest.IsolatedAsyncioTestCase):
    """A peer gets no message that its build does not know, and links stay open."""

    async def asyncSetUp(self):
        """Start a node of this build."""
        self.links = await self.listen(LinkManager(self.identity(), SECRET, Clock()))

    def identity(self, name="new", *fields):
        return Identity(name, "a", 1, *fields)

    async def listen(self, links):
        """Start a node and collect the messages that it gets."""
        links.received = asyncio.Queue()
        links.on_message = lambda *item: links.received.put_nowait(item)
        links.port = await links.listen("127.0.0.1", 0)
        self.addAsyncCleanup(links.close)
        return links

    def connect(self, one, other):
        """Tell a node the address of another."""
        name = other.identity.node
        one.set_peers([Instance(name, "node", "127.0.0.1", other.port, "a")])
        return name

    async def receive(self, links):
        async with asyncio.timeout(TIMEOUT_S):
            return (await links.received.get())[1]

    async def send_until_read(self, links, name, item, receiver):
        """Send a message until it arrives: the link may be closed meanwhile."""
        async with asyncio.timeout(TIMEOUT_S):
            while receiver.received.empty():
                try:
                    links.send(name, item)
                except PeerTooOld:
                    raise
                except Exception as error:
                    self.assertIn("unreachable", str(error))
                await asyncio.sleep(0.05)
        return await self.receive(receiver)

    async def test_both_ends_know_the_build_of_the_other(self):
        peer = await self.listen(
            LinkManager(self.identity("old", "0.1.0+abc"), SECRET, Clock())
        )
        with self.assertLogs("peridotcove.links", "INFO") as logs:
            self.links.send(self.connect(self.links, peer), QueueLease(b"1"))
            await self.receive(peer)
        self.assertIn("node old runs build 0.1.0+abc", logs.output[-1])
        expected = {
            "node": "old",
            "zone": "a",
            "build": "0.1.0+abc",
            "protocol": PROTOCOL,
            "refused": "",
        }
        self.assertEqual(self.links.peer_builds.describe(), [expected])
        self.assertEqual(peer.peer_builds.by_name["new"].protocol, PROTOCOL)

    async def test_an_older_peer_gets_no_message_of_a_later_protocol(self):
        """Also not one that was queued before the link was open."""
        older = await self.listen(OlderLinks("old"))
        name = self.connect(self.links, older)
        kind = message(NEW_CODE, since=PROTOCOL + 1)(
            type("NewMessage", (QueueLease,), {})
        )
        self.addCleanup(messages.by_name.pop, NEW_CODE)
        self.links.send(name, kind(b"1"))
        self.links.send(name, QueueLease(b"2"))
        self.assertEqual(await self.receive(older), QueueLease(b"2"))
        with self.assertRaises(PeerTooOld):
            self.links.send(name, kind(b"3"))
        self.assertTrue(older.received.empty())

    async def test_a_link_is_closed_at_most_once_by_an_unknown_message(self):
        """Builds that say no protocol differ in the messages that they know.

        Those of protocol 2 close a link at `ShareVersions` or `OpenRelay` if they are
        older than these. Each further one would close it again, with the leases that
        are requested on it.
        """
        older = await self.listen(OlderLinks("old", (ShareVersions,)))
        name = self.connect(self.links, older)
        with self.assertLogs("peridotcove.links", "WARNING") as logs:
            self.links.send(name, QueueLease(b"1"))
            await self.receive(older)
            self.links.send(name, VERSIONS)
            item = QueueLease(b"2")
            async with asyncio.timeout(TIMEOUT_S):
                while not older.closed_count or self.links._link_by_peer[name].socket:
                    await asyncio.sleep(0.01)
            await self.send_until_read(self.links, name, item, older)
        self.assertIn("closed the link after ShareVersions", "".join(logs.output))
        for _ in range(3):
            with self.assertRaises(PeerTooOld):
                self.links.send(name, VERSIONS)
        self.links.send(name, ORIGINS)
        self.assertEqual(await self.receive(older), ORIGINS)
        self.assertEqual(older.closed_count, 1)

    async def test_an_older_peer_gets_the_messages_that_it_knows(self):
        older = await self.listen(OlderLinks("old"))
        name = self.connect(self.links, older)
        for item in (ORIGINS, VERSIONS, OpenRelay(b"t" * 16, "127.0.0.1:1")):
            self.links.send(name, item)
            self.assertEqual(await self.receive(older), item)

    async def test_unknown_messages_are_ignored_and_the_link_stays_open(self):
        """The other way: a later build sends what this one does not know."""
        later = await self.listen(
            LinkManager(self.identity("later", "x", PROTOCOL + 1), SECRET, Clock())
        )
        name = self.connect(later, self.links)
        kind = message(NEW_CODE)(type("NewMessage", (QueueLease,), {}))
        with self.assertLogs("peridotcove.links", "INFO") as logs:
            later.send(name, QueueLease(b"1"))
            await self.receive(self.links)
            socket = later._link_by_peer[name].socket
            later.send(name, kind(b"2"))
            later.send(name, kind(b"3"))
            messages.by_name.pop(NEW_CODE)
            later.send(name, QueueLease(b"4"))
            self.assertEqual(await self.receive(self.links), QueueLease(b"4"))
        self.assertIs(later._link_by_peer[name].socket, socket)
        ignored = [line for line in logs.output if "unknown code" in line]
        self.assertEqual(len(ignored), 1)

    async def check_refused(self, identity, text):
        """Check that no message passes either way, and that the log says why once."""
        peer = await self.listen(LinkManager(identity, SECRET, Clock()))
        with self.assertLogs("peridotcove.links", "ERROR") as logs:
            for one, other in ((self.links, peer), (peer, self.links)):
                name = self.connect(one, other)
                for _ in range(2):
                    one.send(name, QueueLease(b"1"))
                    async with asyncio.timeout(TIMEOUT_S):
                        while one._link_by_peer[name].task is not None:
                            await asyncio.sleep(0.01)
                    await asyncio.sleep(0.11)
            await asyncio.sleep(0.1)
        lines = [line for line in logs.output if f"links with {identity.node}" in line]
        self.assertEqual(len(lines), 1)
        self.assertIn(text, lines[0])
        refusal = self.links.peer_builds.describe()[0]["refused"]
        self.assertIn(text, refusal)
        self.assertTrue(self.links.received.empty())

    async def test_a_peer_that_needs_a_later_protocol_is_refused(self):
        later = PROTOCOL + 1
        await self.check_refused(
            self.identity("later", "0.2.0+x", later, later),
            f"it needs peers of protocol {later} or later; this build speaks",
        )

    async def test_a_peer_of_a_protocol_that_is_too_old_is_refused(self):
        await self.check_refused(
            self.identity("oldest", "x", OLDEST_PROTOCOL - 2, 1), "it speaks protocol"
        )

    def test_this_build_says_its_protocol(self):
        self.assertGreaterEqual(PROTOCOL, ANNOUNCED_PROTOCOL)
        self.assertLessEqual(OLDEST_PROTOCOL, PROTOCOL)
