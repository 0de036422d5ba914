"""Calls to the configuration service and the list of instances."""

import json
import logging

from attrs import fields, frozen
from tornado.httpclient import HTTPError

from peridotcove.clock import MS_PER_S
from peridotcove.configuration_parts import DIGEST_BYTES, PartDescriptor
from peridotcove.curl import CurlClient
from peridotcove.exceptions import InvalidSettings, PlatformDown
from peridotcove.manifests import Manifest
from peridotcove.models import Instance
from peridotcove.schema import build

CONNECT_S = 1.0
ANSWER_S = 1.0
MAX_CALLS = 4
NO_CONTENT = 204
NOT_FOUND = 404
INSTANCE_FIELDS = tuple(spec.name for spec in fields(Instance))

log = logging.getLogger("peridotcove.platform")


@frozen
class InstanceList:
    """One version of the list of instances.

    Attributes
    ----------
    version : int
        Version of the list.
    instances : tuple of Instance
        All instances.
    """

    version: int
    instances: tuple = ()


class PlatformClient:
    """Reads what the platform publishes.

    Parameters
    ----------
    platform : Platform
        Base URLs, from the settings.
    node : str
        Name of the reading node.

    Attributes
    ----------
    calls : int
        Calls made so far.
    """

    def __init__(self, platform, node):
        self.calls = 0
        self._configuration_url = platform.configuration_url.rstrip("/")
        self._instances_url = platform.instances_url.rstrip("/")
        self._headers = {"X-Node": node}
        self._http = CurlClient(force_instance=True, max_transfers=MAX_CALLS)

    def close(self):
        """Close all connections."""
        self._http.close()

    async def read_manifest(self, after, wait_ms):
        """Return the manifest of a revision later than one, or None.

        Parameters
        ----------
        after : int
            The revision held.
        wait_ms : int
            Longest wait in ms for a later one.

        Raises
        ------
        PlatformDown
            If the service gave no usable answer.
        """
        query = f"?after={after}&wait_ms={wait_ms}"
        url = f"{self._configuration_url}/configuration/manifest{query}"
        body = await self._get(url, wait_ms)
        return None if body is None else parse_manifest(body)

    async def read_part(self, name):
        """Return the content of a part, or None if there is none of that name.

        Parameters
        ----------
        name : str
            Name of the part.

        Raises
        ------
        PlatformDown
            If the service gave no usable answer.
        """
        return await self._get(f"{self._configuration_url}/configuration/parts/{name}")

    async def read_instances(self, after, wait_ms):
        """Return the list of instances of a version later than one, or None.

        Parameters
        ----------
        after : int
            The version held.
        wait_ms : int
            Longest wait in ms for a later one.

        Raises
        ------
        PlatformDown
            If the service gave no usable answer.
        """
        query = f"?after={after}&wait_ms={wait_ms}"
        body = await self._get(f"{self._instances_url}/instances{query}", wait_ms)
        return None if body is None else parse_instances(body)

    async def _get(self, url, wait_ms=0):
        self.calls += 1
        try:
            answer = await self._http.fetch(
                url,
                headers=self._headers,
                connect_timeout=CONNECT_S,
                request_timeout=wait_ms / MS_PER_S + ANSWER_S,
            )
        except HTTPError as error:
            if error.code == NOT_FOUND:
                return None
            raise PlatformDown(f"{url}: {error}") from None
        except OSError as error:
            raise PlatformDown(f"{url}: {error}") from None
        return None if answer.code == NO_CONTENT else answer.body


def parse_manifest(body):
    """Return the manifest that the service's answer describes.

    Parameters
    ----------
    body : bytes
        JSON.

    Raises
    ------
    PlatformDown
        If it is no manifest.
    """
    try:
        raw = json.loads(body)
        pointers = {
            name: PartDescriptor(
                int(part["revision"]), bytes.fromhex(part["digest"])[:DIGEST_BYTES]
            )
            for name, part in raw["parts"].items()
        }
        return Manifest(int(raw["revision"]), pointers)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise PlatformDown(f"a manifest can't be read: {error!r}") from None


def parse_instances(body):
    """Return the list that the platform's answer describes.

    Further fields are ignored; an instance that can't be
    read is left out.

    Parameters
    ----------
    body : bytes
        JSON.

    Raises
    ------
    PlatformDown
        If it is no list of instances.
    """
    try:
        raw = json.loads(body)
        version, rows = int(raw["version"]), list(raw["instances"])
    except (ValueError, KeyError, TypeError) as error:
        raise PlatformDown(f"a list of instances can't be read: {error!r}") from None
    instances = []
    for index, row in enumerate(rows):
        try:
            known = {name: row[name] for name in INSTANCE_FIELDS if name in row}
            instances.append(build(Instance, known, f"instances[{index}]"))
        except (InvalidSettings, TypeError) as error:
            log.warning("platform: an instance is left out: %s", error)
    return InstanceList(version, tuple(instances))
