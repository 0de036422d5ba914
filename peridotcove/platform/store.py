"""Calls to the platform's store, and a copy of its content as of one revision."""

import base64
import binascii
import json
from urllib.parse import urlencode

from attrs import frozen
from tornado.httpclient import HTTPError

from peridotcove.clock import MS_PER_S
from peridotcove.curl import CurlClient
from peridotcove.exceptions import PlatformDown
from peridotcove.logs import get_logger

# Waits in s: an answer takes some ms; more means that the connection or the store is
# not well, and that another call has to be made within the bounds of a change.
CONNECT_S = 0.5
ANSWER_S = 0.8
MAX_CALLS = 4
MAX_PAGES = 1_000
# All keys; one watch then sees every change in the order of the store's revisions.
EVERY_KEY = ""

log = get_logger("store")


class HistoryGone(PlatformDown):
    """The store no longer has the changes that follow a revision."""


@frozen
class Item:
    """A value of the store.

    Attributes
    ----------
    revision : int
        Revision that wrote it last.
    created : int
        Revision that made its key.
    value : bytes
        The value.
    """

    revision: int
    created: int
    value: bytes


class StoreClient:
    """Keeps a copy of the store's content by reading and watching it.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` of the store.

    Attributes
    ----------
    calls : int
        Calls made so far.
    item_by_key : dict of Item
        The content.
    revision : int
        Revision of the content; 0 before the first read.
    """

    def __init__(self, address):
        self.calls = 0
        self.item_by_key = {}
        self.revision = 0
        self._url = f"http://{address}"
        self._http = CurlClient(force_instance=True, max_transfers=MAX_CALLS)

    def close(self):
        """Close all connections."""
        self._http.close()

    async def follow(self, wait_ms):
        """Bring the copy up to date; return whether it changed.

        Parameters
        ----------
        wait_ms : int
            Longest wait in ms for a change.

        Raises
        ------
        PlatformDown
            If the store gave no usable answer; the copy is as it was.
        """
        before = self.revision
        if not before:
            await self._read_all()
        else:
            try:
                await self._watch(wait_ms)
            except HistoryGone as error:
                log.warning("read anew: %s", error)
                await self._read_all()
        return self.revision != before

    async def _read_all(self):
        items, first, last = {}, None, 0
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": EVERY_KEY, **({"after": after} if after else {})}
            page = await self._get("kv-range", query, 0)
            last = _number(page, "store_revision")
            first = last if first is None else first
            for raw in _rows(page, "items"):
                items[_text(raw, "key")] = _read_item(raw)
            if not page.get("more_pages") or not page["items"]:
                break
            after = _text(page["items"][-1], "key")
        if first == last:
            self.item_by_key, self.revision = items, last
            return
        # Pages are no snapshot: what changed meanwhile is applied again.
        changes = await self._read_changes(first, 0)
        _apply(items, changes)
        revision = max([last, *(_number(raw, "rev") for raw in changes)])
        self.item_by_key, self.revision = items, revision

    async def _watch(self, wait_ms):
        changes = await self._read_changes(self.revision, wait_ms)
        if not changes:
            return
        items = dict(self.item_by_key)
        _apply(items, changes)
        newest = max(_number(raw, "rev") for raw in changes)
        self.item_by_key, self.revision = items, max(self.revision, newest)

    async def _read_changes(self, after, wait_ms):
        query = {"prefix": EVERY_KEY, "after": after, "wait_ms": wait_ms}
        return _rows(await self._get("kv-watch", query, wait_ms), "events")

    async def _get(self, path, query, wait_ms):
        self.calls += 1
        url = f"{self._url}/{path}?{urlencode(query)}"
        try:
            answer = await self._http.fetch(
                url,
                connect_timeout=CONNECT_S,
                request_timeout=wait_ms / MS_PER_S + ANSWER_S,
            )
            page = json.loads(answer.body)
        except HTTPError as error:
            if error.code == 410:
                raise HistoryGone(f"no history after {query.get('after')}") from None
            raise PlatformDown(f"{path}: {error}") from None
        except (OSError, ValueError) as error:
            raise PlatformDown(f"{path}: {error}") from None
        if not isinstance(page, dict):
            raise PlatformDown(f"{path}: the answer is no object")
        return page


def _apply(items, changes):
    for raw in changes:
        key, revision = _text(raw, "key"), _number(raw, "rev")
        held = items.get(key)
        if held is not None and held.revision >= revision:
            continue
        if raw.get("tombstone"):
            items.pop(key, None)
        else:
            items[key] = _read_item(raw)


def _read_item(raw):
    try:
        value = base64.b64decode(_text(raw, "value"), validate=True)
    except (binascii.Error, ValueError) as error:
        log.warning("%s can't be read: %s", raw.get("key"), error)
        value = b""
    return Item(_number(raw, "rev"), _number(raw, "create_revision"), value)


def _rows(page, name):
    rows = page.get(name)
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise PlatformDown(f"{name} is no list of objects")
    return rows


def _number(raw, name):
    found = raw.get(name)
    if not isinstance(found, int) or isinstance(found, bool):
        raise PlatformDown(f"{name} is {found!r}, not a whole number")
    return found


def _text(raw, name):
    found = raw.get(name)
    if not isinstance(found, str):
        raise PlatformDown(f"{name} is {found!r}, not a string")
    return found
