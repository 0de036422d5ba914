"""Background jobs that watch the platform's configuration and instances."""

import asyncio
import logging

from peridotcove.background import restarting
from peridotcove.clock import MS_PER_S
from peridotcove.configuration_reader import ReadPart
from peridotcove.exceptions import PlatformDown

MAX_PAUSE_S = 0.25
INSTANCES_WAIT_MS = 4_000
FIRST_BACKOFF_MS = 250
MAX_BACKOFF_MS = 4_000

log = logging.getLogger("peridotcove.platform")


@restarting
async def watch_configuration(
    client,
    reader,
    on_messages,
    on_availability_change=lambda service_lost, reason: None,
):
    """Run the calls that the reader decides on, until cancelled.

    Parameters
    ----------
    client : PlatformClient
        Makes the calls.
    reader : ConfigurationReader
        Decides on the calls and handles their results.
    on_messages : callable
        Called after each response with the messages to send to other nodes, if any.
    on_availability_change : callable
        Called with true and the reason when the service becomes unavailable, and with
        false and an empty string when it is available again.
    """
    service_lost = False
    while True:
        call = reader.next_call()
        if call is None:
            await asyncio.sleep(reader.pause_ms() / MS_PER_S)
            continue
        try:
            if isinstance(call, ReadPart):
                data = await client.read_part(call.name)
                messages = reader.handle_part(call.name, data)
            else:
                manifest = await client.read_manifest(
                    call.after, call.wait_ms, call.refused
                )
                messages = reader.handle_manifest(manifest)
        except PlatformDown as error:
            if not service_lost:
                on_availability_change(True, str(error))
            service_lost = True
            reader.handle_failure()
            continue
        if service_lost:
            on_availability_change(False, "")
        service_lost = False
        on_messages(messages)


@restarting
async def watch_instances(client, clock, rng, on_instances):
    """Read the list of instances repeatedly, until cancelled.

    Parameters
    ----------
    client : PlatformClient
        Makes the calls.
    clock : Clock
        Source of time.
    rng : random.Random
        Jitter of the pauses between calls.
    on_instances : callable
        Called with the instances of each new version, and the time in ms at which the
        call was made.
    """
    version, failures = 0, 0
    while True:
        asked_ms = clock.now()
        try:
            instance_list = await client.read_instances(version, INSTANCES_WAIT_MS)
        except PlatformDown as error:
            # After a failure, any version is read: a restarted service may count its
            # versions from the start.
            version, failures = 0, failures + 1
            log.warning(
                "platform: reading the list of instances failed; retrying: %s", error
            )
            limit = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << min(failures, 10))
            await asyncio.sleep(rng.randint(limit // 2, limit) / MS_PER_S)
            continue
        failures = 0
        if instance_list is not None:
            version = instance_list.version
            on_instances(instance_list.instances, asked_ms)
        await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))
