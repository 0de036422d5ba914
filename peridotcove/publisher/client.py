"""Client of the platform's configuration service and list of instances."""

import logging

from attrs import fields, frozen
from tornado.httpclient import HTTPError

from peridotcove.clock import MS_PER_S
from peridotcove.configuration_parts import DIGEST_BYTES, PartDescriptor
from peridotcove.curl import CurlClient
from peridotcove.exceptions import InvalidSettings, PlatformDown
from peridotcove.json_values import decode_json
from peridotcove.manifests import Manifest
from peridotcove.models import Instance
from peridotcove.schema import build

CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 4
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
    """Reads the configuration and the list of instances from the platform.

    Parameters
    ----------
    platform : Platform
        Base URLs of the services, from the settings.
    node : str
        Name of this node, sent with each call.

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
        self._client = CurlClient(
            force_instance=True, max_transfers=MAX_CONCURRENT_CALLS
        )

    def close(self):
        """Close all connections."""
        self._client.close()

    async def read_manifest(self, after, wait_ms, refused=0):
        """Return the manifest of a revision newer than the given one, or None.

        Parameters
        ----------
        after : int
            Revision that the node has.
        wait_ms : int
            Longest time in ms that the service waits for a newer revision.
        refused : int
            Newer revision that the node has refused, or 0.

        Raises
        ------
        PlatformDown
            If the service gave no valid response.
        """
        query = f"?after={max(after, refused)}&wait_ms={wait_ms}"
        url = f"{self._configuration_url}/configuration/manifest{query}"
        body = await self._get(url, wait_ms)
        return None if body is None else parse_manifest(body)

    async def read_part(self, name):
        """Return the content of a part, or None if there is no part of that name.

        Parameters
        ----------
        name : str
            Name of the part.

        Raises
        ------
        PlatformDown
            If the service gave no valid response.
        """
        return await self._get(f"{self._configuration_url}/configuration/parts/{name}")

    async def read_instances(self, after, wait_ms):
        """Return the list of instances if it is newer than a version, or None.

        Parameters
        ----------
        after : int
            Version that the node has.
        wait_ms : int
            Longest time in ms that the service waits for a newer version.

        Raises
        ------
        PlatformDown
            If the service gave no valid response.
        """
        query = f"?after={after}&wait_ms={wait_ms}"
        body = await self._get(f"{self._instances_url}/instances{query}", wait_ms)
        return None if body is None else parse_instances(body)

    async def _get(self, url, wait_ms=0):
        self.calls += 1
        try:
            response = await self._client.fetch(
                url,
                headers=self._headers,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=wait_ms / MS_PER_S + RESPONSE_TIMEOUT_S,
            )
        except HTTPError as error:
            if error.code == NOT_FOUND:
                return None
            raise PlatformDown(f"{url}: {error}") from None
        except OSError as error:
            raise PlatformDown(f"{url}: {error}") from None
        return None if response.code == NO_CONTENT else response.body


def parse_manifest(body):
    """Parse a response of the configuration service as a manifest.

    Parameters
    ----------
    body : bytes
        Body of the response, JSON.

    Raises
    ------
    PlatformDown
        If the body is not a valid manifest.
    """
    try:
        raw = decode_json(body)
        descriptor_by_name = {
            name: PartDescriptor(
                int(part["revision"]), bytes.fromhex(part["digest"])[:DIGEST_BYTES]
            )
            for name, part in raw["parts"].items()
        }
        return Manifest(int(raw["revision"]), descriptor_by_name)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise PlatformDown(f"invalid manifest: {error!r}") from None


def parse_instances(body):
    """Parse a response of the platform as a list of instances.

    Unknown fields are ignored; an invalid instance is logged and skipped.

    Parameters
    ----------
    body : bytes
        Body of the response, JSON.

    Raises
    ------
    PlatformDown
        If the body is not a list of instances.
    """
    try:
        raw = decode_json(body)
        version, rows = int(raw["version"]), list(raw["instances"])
    except (ValueError, KeyError, TypeError) as error:
        raise PlatformDown(f"invalid list of instances: {error!r}") from None
    instances = []
    for index, row in enumerate(rows):
        try:
            known_fields = {name: row[name] for name in INSTANCE_FIELDS if name in row}
            instances.append(build(Instance, known_fields, f"instances[{index}]"))
        except (InvalidSettings, TypeError) as error:
            log.warning("platform: skipped an invalid instance: %s", error)
    return InstanceList(version, tuple(instances))
