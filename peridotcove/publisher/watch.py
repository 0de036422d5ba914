"""Watches the platform for as long as the node runs."""

import asyncio
import logging

from peridotcove.clock import MS_PER_S
from peridotcove.configuration_reader import ReadPart
from peridotcove.exceptions import PlatformDown

MAX_GAP_S = 0.25
LIST_WAIT_MS = 4_000
FIRST_BACKOFF_MS = 250
MAX_BACKOFF_MS = 4_000

log = logging.getLogger("peridotcove.platform")


async def watch_configuration(client, reader, take, note=lambda lost, reason: None):
    """Make the reader's calls until cancelled.

    Parameters
    ----------
    client : PlatformClient
        Makes the calls.
    reader : Reader
        Decides on them.
    take : callable
        Called after each answer with the messages that follow from it, if any.
    note : callable
        Called when the service is lost or regained: whether it is lost, and why.
    """
    lost = False
    while True:
        call = reader.next_call()
        if call is None:
            await asyncio.sleep(reader.pause_ms() / MS_PER_S)
            continue
        try:
            if isinstance(call, ReadPart):
                data = await client.read_part(call.name)
                outgoing = reader.handle_part(call.name, data)
            else:
                manifest = await client.read_manifest(call.after, call.wait_ms)
                outgoing = reader.handle_manifest(manifest)
        except PlatformDown as error:
            if not lost:
                note(True, str(error))
            lost = True
            reader.handle_failure()
            continue
        if lost:
            note(False, "")
        lost = False
        take(outgoing)


async def watch_instances(client, clock, rng, take):
    """Read the list of instances again and again until cancelled.

    Parameters
    ----------
    client : PlatformClient
        Makes the calls.
    clock : Clock
        Time in ms.
    rng : random.Random
        Spreads repeated calls over time.
    take : callable
        Called with the instances, and the time in ms at which they were asked for.
    """
    version, failures = 0, 0
    while True:
        asked_ms = clock.now()
        try:
            found = await client.read_instances(version, LIST_WAIT_MS)
        except PlatformDown as error:
            # A service that has come back may count from a lower version.
            version, failures = 0, failures + 1
            log.warning("platform: list of instances not read: %s", error)
            limit = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << min(failures, 10))
            await asyncio.sleep(rng.randint(limit // 2, limit) / MS_PER_S)
            continue
        failures = 0
        if found is not None:
            version = found.version
            take(found.instances, asked_ms)
        await asyncio.sleep(rng.uniform(0, MAX_GAP_S))
