"""Tests of `peridotcove.platform.store`: the copy is correct, or an error is raised."""

import unittest
from unittest import mock

import pycurl
from tornado.curl_httpclient import CurlError

from peridotcove.exceptions import PlatformDown
from peridotcove.platform.store import StoreClient
from tests.platform.fakes import MemoryHttp, StoreStandin

LARGE_VALUE = b"x" * 200_000
VERSIONS = 30
# The slowest links of the users' pages, in bytes per ms.
THIN_LINK_BYTES_PER_MS = 1_250


class ThinLink(MemoryHttp):
    """Answers of a store over a thin link; those that take too long fail.

    Attributes
    ----------
    bytes : int
        Size of all answers, also of those that failed.
    """

    def __init__(self, store):
        super().__init__(store)
        self.bytes = 0

    async def fetch(self, url, request_timeout, **kwargs):
        """Return the answer of the store, or fail after the timeout."""
        answer = await super().fetch(url, **kwargs)
        self.bytes += len(answer.body)
        if len(answer.body) / THIN_LINK_BYTES_PER_MS > request_timeout * 1_000:
            text = f"Operation timed out with {len(answer.body)} bytes received"
            raise CurlError(pycurl.E_OPERATION_TIMEDOUT, text)
        return answer


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """The copy matches the store after pages, changes, lost history and failures."""

    async def asyncSetUp(self):
        self.store = StoreStandin()
        self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.client = StoreClient(self.store.address)
        self.addCleanup(self.client.close)

    def check(self):
        expected = set(self.store.item_by_key)
        self.assertEqual(set(self.client.item_by_key), expected)
        self.assertEqual(self.client.revision, self.store.revision)

    async def test_pages_and_changes(self):
        for number in range(8):
            self.store.put(f"servers/{number}", {"n": number})
        self.assertTrue(await self.client.update(0))
        self.check()
        self.assertFalse(await self.client.update(0))
        self.store.drop("servers/3")
        self.store.put("servers/4", {"n": "new"})
        self.assertTrue(await self.client.update(1000))
        self.check()
        self.assertIn(b"new", self.client.item_by_key["servers/4"].value)

    async def test_changes_between_pages_are_not_lost(self):
        for number in range(8):
            self.store.put(f"servers/{number}", {})

        def change():
            self.store.between_pages = lambda: None
            self.store.drop("servers/0")
            self.store.put("servers/1", {"n": "new"})

        self.store.between_pages = change
        await self.client.update(0)
        self.check()
        self.assertIn(b"new", self.client.item_by_key["servers/1"].value)

    async def test_compacted_history_is_followed_by_a_full_read(self):
        self.store.put("servers/0", {})
        await self.client.update(0)
        self.store.drop("servers/0")
        self.store.put("servers/1", {})
        self.store.compacted_revision = self.store.revision
        await self.client.update(0)
        self.check()

    async def test_a_restored_store_is_logged_with_both_revisions(self):
        await self.client.update(0)
        copy = self.store.copy()
        self.store.put("servers/0", {})
        await self.client.update(0)
        self.store.restore(copy)
        with self.assertLogs("peridotcove.store", "WARNING") as logged:
            await self.client.update(0)
        text = "the store's epoch is 2, before 1; its revision is 1, the last read 2"
        self.assertIn(text, "".join(logged.output))

    async def test_a_store_without_epochs_is_read(self):
        self.store.epoch = 0
        self.store.put("servers/0", {})
        self.assertTrue(await self.client.update(0))
        self.store.put("servers/1", {})
        self.assertTrue(await self.client.update(0))
        self.check()
        self.assertEqual(self.client.epoch, 0)

    def values(self):
        return {key: one.value for key, one in self.client.item_by_key.items()}

    async def test_a_revision_that_is_given_out_again_brings_other_content(self):
        copy = self.store.copy()
        self.store.put("servers/0", b"lost")
        await self.client.update(0)
        self.store.restore(copy)
        self.store.put("servers/1", b"written after")
        await self.client.update(0)
        self.assertEqual(self.values(), {"servers/1": b"written after"})
        self.store.put("servers/2", b"later")
        await self.client.update(0)
        self.assertIn("servers/2", self.values())

    async def test_an_answer_of_an_earlier_epoch_is_an_error(self):
        self.store.epoch = 2
        await self.client.update(0)
        self.store.epoch -= 1
        self.store.put("servers/0", b"of the earlier epoch")
        with self.assertRaises(PlatformDown):
            await self.client.update(0)
        self.assertEqual(self.values(), {})

    async def test_pages_of_two_epochs_are_not_mixed(self):
        copy = self.store.copy()
        for number in range(8):
            self.store.put(f"servers/{number}", b"lost")

        def restore():
            self.store.between_pages = lambda: None
            self.store.restore(copy)
            for number in range(5, 9):
                self.store.put(f"servers/{number}", b"kept")

        self.store.between_pages = restore
        await self.client.update(0)
        self.assertEqual(set(self.values().values()), {b"kept"})

    async def test_failures_leave_the_copy_unchanged(self):
        self.store.put("servers/0", {})
        await self.client.update(0)
        before = self.client.item_by_key
        for status in (429, 503, 500):
            with self.subTest(status=status):
                self.store.status = status
                with self.assertRaises(PlatformDown):
                    await self.client.update(0)
        self.store.status, self.store.silent = 0, True
        with self.assertRaises(PlatformDown):
            await self.client.update(0)
        self.assertIs(self.client.item_by_key, before)

    async def test_an_undecodable_value_does_not_affect_others(self):
        self.store.put("servers/0", {})
        self.store.item_by_key["servers/1"] = dict(
            self.store.item_by_key["servers/0"], key="servers/1", value="%%%"
        )
        await self.client.update(0)
        self.assertEqual(self.client.item_by_key["servers/1"].value, b"")
        self.assertEqual(self.client.item_by_key["servers/0"].value, b"{}")


class ThinLinkTest(unittest.IsolatedAsyncioTestCase):
    """A large value is written again and again, and the link to the store is thin."""

    def setUp(self):
        self.store = StoreStandin()
        self.http = ThinLink(self.store)
        with mock.patch(
            "peridotcove.platform.store.CurlClient", lambda **kwargs: self.http
        ):
            self.client = StoreClient(self.store.address)

    async def update(self):
        try:
            await self.client.update(0)
        except PlatformDown:
            return

    # A watch that could not be answered in time was repeated, with more to answer.
    async def test_changes_that_do_not_fit_into_the_time_of_a_watch_are_read(self):
        self.store.put("large", LARGE_VALUE)
        await self.update()
        for _ in range(3):
            for _ in range(VERSIONS):
                self.store.put("large", LARGE_VALUE)
            self.store.put("servers/1", {"state": "draining"})
            await self.update()
            await self.update()
            self.assertEqual(self.client.revision, self.store.revision)

    # A node that begins to read has an old copy, whose history is gone.
    async def test_content_that_takes_long_is_read_after_lost_history(self):
        self.store.put("large", LARGE_VALUE)
        await self.update()
        for number in range(5):
            self.store.put(f"large-{number}", LARGE_VALUE)
        self.store.compacted_revision = self.store.revision
        await self.update()
        self.assertEqual(self.client.revision, self.store.revision)

    async def test_replaced_versions_are_not_read_one_by_one(self):
        self.store.put("large", LARGE_VALUE)
        await self.update()
        size = self.http.bytes
        calls = 20
        for _ in range(calls):
            for _ in range(3):
                self.store.put("large", LARGE_VALUE)
            await self.update()
            self.assertEqual(self.client.revision, self.store.revision)
        # One watch finds out; each further call reads the state.
        self.assertLess(self.http.bytes, (calls + 4) * size)

    async def test_changes_are_watched_again_after_the_large_ones(self):
        self.store.put("large", LARGE_VALUE)
        await self.update()
        for _ in range(VERSIONS):
            self.store.put("large", LARGE_VALUE)
        for _ in range(3):
            await self.update()
        before = self.http.bytes
        for number in range(10):
            self.store.put("servers/1", {"number": number})
            await self.update()
            self.assertEqual(self.client.revision, self.store.revision)
        self.assertLess(self.http.bytes - before, len(LARGE_VALUE))
