"""Client of the platform's store, with a copy of its content as of one revision."""

import base64
import binascii
from urllib.parse import urlencode

import pycurl
from attrs import frozen
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPError

from peridotcove.clock import MS_PER_S
from peridotcove.curl import CurlClient
from peridotcove.exceptions import PlatformDown
from peridotcove.json_values import decode_json
from peridotcove.logs import get_logger

# Timeouts. An answer normally takes a few ms. A longer wait means that the connection
# or the store has failed, and a retry must fit into the time allowed for a change.
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 0.8
# The content is larger than most answers; on the thinnest links it takes longer.
CONTENT_TIMEOUT_S = 1.6
MAX_CONCURRENT_CALLS = 4
MAX_PAGES = 1_000
# The store may come back from a copy while it is read.
MAX_READS = 3
# Header of all answers. Its number rises by one each time the store comes back from an
# older backup, from whose revision the store counts on.
ERA_HEADER = "Store-Era"
# A single watch of all keys sees every change in the order of the store's revisions.
ALL_KEYS_PREFIX = ""
# A watch brings each version of a value. If an answer has more bytes of versions that
# are replaced in it, the content is read in place of the changes.
MAX_REPLACED_BYTES = 65_536

log = get_logger("store")


class AnswerTimeout(PlatformDown):
    """The store's answer did not arrive in its time."""


class HistoryUnavailable(PlatformDown):
    """The store no longer has the changes since a revision, or never had them."""


@frozen
class StoreItem:
    """A value in the store.

    Attributes
    ----------
    revision : int
        Revision of the last write.
    created : int
        Revision that created the key.
    value : bytes
        Stored value.
    """

    revision: int
    created: int
    value: bytes


class StoreClient:
    """Maintains a copy of the store's content by reading and watching it.

    The content is read again, in place of its changes, while these have many versions
    of large values, or take too long for the link.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` of the store.

    Attributes
    ----------
    calls : int
        Number of calls made so far.
    item_by_key : dict of StoreItem
        Copy of the content by key.
    revision : int
        Revision of the copy; 0 before the first read.
    epoch : int
        Epoch of the copy; 0 before the first read, or if the store has none.
    """

    def __init__(self, address):
        self.calls = 0
        self.item_by_key = {}
        self.revision = 0
        self.epoch = 0
        self._answer_epoch = 0
        self._prefers_content = False
        self._url = f"http://{address}"
        self._http = CurlClient(force_instance=True, max_transfers=MAX_CONCURRENT_CALLS)

    def close(self):
        """Close all connections."""
        self._http.close()

    async def update(self, wait_ms):
        """Update the copy and return whether it changed.

        Parameters
        ----------
        wait_ms : int
            Maximum wait in ms for a change.

        Raises
        ------
        PlatformDown
            If the store gave no valid answer; the copy is unchanged.
        """
        previous = self.epoch, self.revision
        if not self.revision:
            await self._read_all()
            return True
        if self._prefers_content:
            await self._read_all()
            self._prefers_content = (self.epoch, self.revision) != previous
            return self._prefers_content
        try:
            await self._read_watch(wait_ms)
        except HistoryUnavailable as error:
            log.warning("reading the whole store again: %s", error)
            self._prefers_content = True
            await self._read_all()
            self._prefers_content = False
        except AnswerTimeout:
            self._prefers_content = True
            raise
        return (self.epoch, self.revision) != previous

    async def _read_all(self):
        for _ in range(MAX_READS):
            try:
                items, revision, epoch = await self._read_pages()
            except HistoryUnavailable as error:
                log.warning("reading the whole store again: %s", error)
                continue
            self.item_by_key, self.revision, self.epoch = items, revision, epoch
            return
        raise PlatformDown(f"the store's content changed during {MAX_READS} reads")

    async def _read_pages(self):
        items, first, last, epoch = {}, None, 0, None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": ALL_KEYS_PREFIX, **({"after": after} if after else {})}
            page = await self._fetch("kv-range", query, 0, epoch)
            epoch = self._answer_epoch
            last = _get_number(page, "store_revision")
            first = last if first is None else first
            for raw in _get_rows(page, "items"):
                items[_get_text(raw, "key")] = _read_item(raw)
            if not page.get("more_pages") or not page["items"]:
                break
            after = _get_text(page["items"][-1], "key")
        if first == last:
            return items, last, epoch
        # The pages are not a snapshot: changes made meanwhile are applied on top.
        changes = await self._read_changes(first, 0, epoch)
        _apply_changes(items, changes)
        revision = max([last, *(_get_number(raw, "rev") for raw in changes)])
        return items, revision, epoch

    async def _read_watch(self, wait_ms):
        changes = await self._read_changes(self.revision, wait_ms, self.epoch)
        if not changes:
            return
        items = dict(self.item_by_key)
        _apply_changes(items, changes)
        replaced_bytes = _count_replaced_bytes(changes)
        self._prefers_content = replaced_bytes > MAX_REPLACED_BYTES
        if self._prefers_content:
            log.info(
                "the content is read in place of changes, which had %d bytes of "
                "replaced versions",
                replaced_bytes,
            )
        newest = max(_get_number(raw, "rev") for raw in changes)
        self.item_by_key, self.revision = items, max(self.revision, newest)

    async def _read_changes(self, after, wait_ms, epoch):
        query = {"prefix": ALL_KEYS_PREFIX, "after": after, "wait_ms": wait_ms}
        return _get_rows(await self._fetch("kv-watch", query, wait_ms, epoch), "events")

    async def _fetch(self, path, query, wait_ms, epoch):
        """Return the body of an answer of an epoch, or of any if that is None."""
        self.calls += 1
        url = f"{self._url}/{path}?{urlencode(query, errors='surrogatepass')}"
        try:
            answer = await self._http.fetch(
                url,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=wait_ms / MS_PER_S + self._answer_timeout_s(),
            )
            page = decode_json(answer.body)
        except CurlError as error:
            cause = PlatformDown
            if error.errno == pycurl.E_OPERATION_TIMEDOUT:
                cause = AnswerTimeout
            raise cause(f"{path}: {error}") from None
        except HTTPError as error:
            if error.code == 410:
                raise HistoryUnavailable(
                    f"the store has no history after revision {query.get('after')}"
                ) from None
            raise PlatformDown(f"{path}: {error}") from None
        except (OSError, ValueError) as error:
            raise PlatformDown(f"{path}: {error}") from None
        if not isinstance(page, dict):
            raise PlatformDown(f"{path}: the answer is not a JSON object")
        self._record_epoch(_parse_epoch(answer.headers), page.get("store_revision"))
        if epoch is not None and self._answer_epoch != epoch:
            text = f"epoch {self._answer_epoch} of the store has begun after {epoch}"
            raise HistoryUnavailable(text)
        return page

    def _answer_timeout_s(self):
        return CONTENT_TIMEOUT_S if self._prefers_content else ANSWER_TIMEOUT_S

    def _record_epoch(self, epoch, store_revision):
        if epoch < self._answer_epoch:
            text = f"an answer of the store's epoch {epoch} came after one of epoch "
            raise PlatformDown(f"{text}{self._answer_epoch}")
        if epoch == self._answer_epoch:
            return
        log.warning(
            "the store's epoch is %d, before %d; its revision is %s, the last read %d",
            epoch,
            self._answer_epoch,
            store_revision,
            self.revision,
        )
        self._answer_epoch = epoch


def _apply_changes(items, changes):
    for raw in changes:
        key, revision = _get_text(raw, "key"), _get_number(raw, "rev")
        held = items.get(key)
        if held is not None and held.revision >= revision:
            continue
        if raw.get("tombstone"):
            items.pop(key, None)
        else:
            items[key] = _read_item(raw)


def _count_replaced_bytes(changes):
    """Return the size of the values that later changes of the same keys replace."""
    size_by_key, replaced = {}, 0
    for raw in changes:
        key = _get_text(raw, "key")
        replaced += size_by_key.get(key, 0)
        size_by_key[key] = len(raw.get("value") or "")
    return replaced


def _parse_epoch(headers):
    text = headers.get(ERA_HEADER, "0")
    if not text.isdecimal():
        raise PlatformDown(f"{ERA_HEADER} is {text!r}, not a whole number")
    return int(text)


def _read_item(raw):
    try:
        value = base64.b64decode(_get_text(raw, "value"), validate=True)
    except (binascii.Error, ValueError) as error:
        log.warning(
            "value of key %s can't be decoded and is treated as empty: %s",
            raw.get("key"),
            error,
        )
        value = b""
    return StoreItem(
        _get_number(raw, "rev"), _get_number(raw, "create_revision"), value
    )


def _get_rows(page, name):
    rows = page.get(name)
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise PlatformDown(f"{name} is not a list of objects")
    return rows


def _get_number(raw, name):
    found = raw.get(name)
    if not isinstance(found, int) or isinstance(found, bool):
        raise PlatformDown(f"{name} is {found!r}, not a whole number")
    return found


def _get_text(raw, name):
    found = raw.get(name)
    if not isinstance(found, str):
        raise PlatformDown(f"{name} is {found!r}, not a string")
    return found
