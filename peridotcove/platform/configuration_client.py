"""Gives the reader of the configuration what the platform's store publishes."""

from peridotcove.configuration_parts import PartDescriptor, digest
from peridotcove.manifests import Manifest
from peridotcove.part_splitting import format_compact_json, split_into_parts
from peridotcove.platform.store import StoreClient
from peridotcove.platform.translation import translate


class StorePublication:
    """The store's content as revisions and parts of a configuration.

    Takes the place of `peridotcove.publisher.client.PlatformClient`; a manifest carries
    the content of its parts, so that no part is read by itself.

    Parameters
    ----------
    store : Store
        Where the store is, and what each configuration needs beside it.
    """

    def __init__(self, store):
        self._store = store
        self._client = StoreClient(store.address)
        self._pointer_by_name = {}

    @property
    def calls(self):
        """Calls made so far."""
        return self._client.calls

    def close(self):
        """Close all connections."""
        self._client.close()

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
            If the store gave no usable answer.
        """
        wait_ms = 0 if self._client.revision > after else wait_ms
        await self._client.follow(wait_ms)
        revision = self._client.revision
        raw = translate(self._client.item_by_key, self._store)
        if raw is None or revision <= after:
            return None
        data_by_name = {
            name: format_compact_json(part).encode("utf-8", "surrogatepass")
            for name, part in split_into_parts(raw).items()
        }
        pointers = {
            name: self._point(name, data, revision)
            for name, data in data_by_name.items()
        }
        self._pointer_by_name = pointers
        return Manifest(revision, pointers, data_by_name)

    def _point(self, name, data, revision):
        published = digest(data)
        before = self._pointer_by_name.get(name)
        if before is not None and before.published_digest == published:
            return before
        return PartDescriptor(revision, published)

    async def read_part(self, name):
        """Return None: manifests carry their parts.

        Parameters
        ----------
        name : str
            Name of a part.
        """
        return None
