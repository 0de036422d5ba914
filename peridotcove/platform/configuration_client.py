"""Configuration client that reads from the platform's store."""

from peridotcove.configuration_parts import PartDescriptor, digest
from peridotcove.exceptions import PlatformDown
from peridotcove.logs import get_logger
from peridotcove.manifests import Manifest
from peridotcove.part_splitting import format_compact_json, split_into_parts
from peridotcove.platform.document import CONFIGURATION_KEY, parse_document
from peridotcove.platform.store import StoreClient
from peridotcove.platform.translation import translate
from peridotcove.revision_numbers import make_revision_number

log = get_logger("store")


class StoreConfigurationClient:
    """Presents the content of the store as revisions and parts of a configuration.

    Used in place of `peridotcove.publisher.client.PlatformClient`. Its manifests
    contain the content of their parts, so that parts are not read separately.

    A store that comes back from an older backup may have an older version of the
    operator's document. The newest version that was read stays in use, also when the
    store has one that can't be read.

    Parameters
    ----------
    store : StoreSettings
        Address of the store, and settings that are added to each configuration.
    """

    def __init__(self, store):
        self._store = store
        self._client = StoreClient(store.address)
        self._descriptor_by_name = {}
        self._checked_item = None
        self._document = None

    @property
    def calls(self):
        """Number of calls made so far."""
        return self._client.calls

    def close(self):
        """Close all connections."""
        self._client.close()

    async def read_manifest(self, after, wait_ms):
        """Return the manifest of a later revision, or None if there is none.

        Parameters
        ----------
        after : int
            Revision that the caller has.
        wait_ms : int
            Maximum wait in ms for a later revision.

        Raises
        ------
        PlatformDown
            If the store gave no valid answer.
        """
        wait_ms = 0 if self._make_revision_number() > after else wait_ms
        await self._client.update(wait_ms)
        self._update_document()
        if self._document is None:
            return None
        revision = self._make_revision_number()
        if revision <= after:
            return None
        raw = translate(self._document, self._client.item_by_key, self._store)
        data_by_name = {
            name: format_compact_json(part).encode("utf-8", "surrogatepass")
            for name, part in split_into_parts(raw).items()
        }
        descriptors = {
            name: self._make_descriptor(name, data, revision)
            for name, data in data_by_name.items()
        }
        self._descriptor_by_name = descriptors
        return Manifest(revision, descriptors, data_by_name)

    def _make_revision_number(self):
        client = self._client
        version = self._document.version if self._document is not None else 0
        try:
            return make_revision_number(version, client.epoch, client.revision)
        except ValueError as error:
            raise PlatformDown(str(error)) from None

    def _update_document(self):
        """Use the document that the store has unless it is older than one before."""
        item = self._client.item_by_key.get(CONFIGURATION_KEY)
        if item is None or item is self._checked_item:
            return
        current = self._document
        try:
            document = parse_document(item)
        except PlatformDown as error:
            if current is None:
                raise
            self._checked_item = item
            log.error(
                "the operator's document of revision %d is ignored, "
                "version %d stays in use: %s",
                item.revision,
                current.version,
                error,
            )
            return
        self._checked_item = item
        if current is None or document.version >= current.version:
            self._document = document
            return
        log.warning(
            "version %d of the operator's document is older than %d, which stays in "
            "use; epoch %d of the store, revision %d",
            document.version,
            current.version,
            self._client.epoch,
            self._client.revision,
        )

    def _make_descriptor(self, name, data, revision):
        published_digest = digest(data)
        previous = self._descriptor_by_name.get(name)
        if previous is not None and previous.published_digest == published_digest:
            return previous
        return PartDescriptor(revision, published_digest)

    async def read_part(self, name):
        """Return None, because manifests contain their parts.

        Parameters
        ----------
        name : str
            Name of the part.
        """
        return None
