"""Collects the event rings of nodes over their operators' port."""

import asyncio
import json

from attrs import frozen
from tornado.httpclient import AsyncHTTPClient, HTTPError

from peridotcove.exceptions import ProtocolError
from peridotcove.timeline_merge import CollectedTimeline, parse_export

TIMEOUT_S = 5.0
MAX_PAGES = 100


@frozen
class Missing:
    """A node whose time line could not be had.

    Attributes
    ----------
    address : str
        ``HOST:PORT`` of its operators' port.
    reason : str
        What went wrong.
    """

    address: str
    reason: str


async def collect_timelines(addresses, clock, timeout_s=TIMEOUT_S):
    """Return the rings of nodes, and which nodes are missing.

    Parameters
    ----------
    addresses : sequence of str
        ``HOST:PORT`` of each operators' port.
    clock : Clock
        The clock that the others are compared with.
    timeout_s : float
        Longest wait in seconds for one answer.

    Returns
    -------
    rings : list of Ring
        One a node that answered.
    missing : list of Missing
        The other nodes.
    """
    jobs = [_collect_one(address, clock, timeout_s) for address in addresses]
    results = await asyncio.gather(*jobs)
    rings = [item for item in results if isinstance(item, CollectedTimeline)]
    return rings, [item for item in results if isinstance(item, Missing)]


async def _collect_one(address, clock, timeout_s):
    pages = []
    after = 0
    try:
        while len(pages) < MAX_PAGES:
            page = await _fetch_page(address, after, clock, timeout_s)
            if not pages or page.incarnation != pages[-1].incarnation:
                pages = []
            pages.append(page)
            if not page.events:
                break
            after = page.events[-1].sequence
    except (OSError, HTTPError, ProtocolError, ValueError) as error:
        return Missing(address, str(error) or type(error).__name__)
    events = tuple(event for page in pages for event in page.events)
    first = pages[0]
    lost = sum(page.lost for page in pages)
    return CollectedTimeline(
        first.node, first.incarnation, first.offset_ms, lost, events
    )


async def _fetch_page(address, after, clock, timeout_s):
    url = f"http://{address}/timeline?after={after}"
    sent_ms = clock.wall()
    response = await AsyncHTTPClient().fetch(
        url, connect_timeout=timeout_s, request_timeout=timeout_s
    )
    middle_ms = (sent_ms + clock.wall()) / 2
    raw = json.loads(response.body)
    if not isinstance(raw, dict) or not isinstance(raw.get("wall_ms"), int):
        raise ProtocolError("the answer is no time line")
    return parse_export(raw, raw["wall_ms"] - middle_ms)
