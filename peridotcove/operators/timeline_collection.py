"""Collects the event timelines of nodes from their operators' ports."""

import asyncio

from attrs import frozen
from tornado.httpclient import AsyncHTTPClient, HTTPError

from peridotcove.exceptions import ProtocolError
from peridotcove.json_values import decode_json
from peridotcove.timeline_merge import CollectedTimeline, parse_export

TIMEOUT_S = 5.0
MAX_PAGES = 100


@frozen
class MissingNode:
    """A node whose timeline could not be fetched.

    Attributes
    ----------
    address : str
        ``HOST:PORT`` of its operators' port.
    reason : str
        Text of the error.
    """

    address: str
    reason: str


async def collect_timelines(addresses, clock, timeout_s=TIMEOUT_S):
    """Return the timelines of nodes, and the nodes that did not answer.

    Parameters
    ----------
    addresses : sequence of str
        ``HOST:PORT`` of each operators' port.
    clock : Clock
        Local clock; the clock offset of each node is measured against it.
    timeout_s : float
        Timeout in seconds for one page.

    Returns
    -------
    timelines : list of CollectedTimeline
        One for each node that answered.
    missing : list of MissingNode
        Nodes that did not answer.
    """
    jobs = [_collect_one(address, clock, timeout_s) for address in addresses]
    results = await asyncio.gather(*jobs)
    timelines = [item for item in results if isinstance(item, CollectedTimeline)]
    return timelines, [item for item in results if isinstance(item, MissingNode)]


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
        return MissingNode(address, str(error) or type(error).__name__)
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
    midpoint_ms = (sent_ms + clock.wall()) / 2
    raw = decode_json(response.body)
    if not isinstance(raw, dict) or not isinstance(raw.get("wall_ms"), int):
        raise ProtocolError("the answer is not a timeline")
    return parse_export(raw, raw["wall_ms"] - midpoint_ms)
