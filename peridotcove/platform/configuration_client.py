"""Configuration client that reads from the platform's store."""

from peridotcove.configuration_parts import PartDescriptor, digest
from peridotcove.exceptions import InvalidSettings, PlatformDown
from peridotcove.logs import get_logger
from peridotcove.manifests import Manifest
from peridotcove.part_splitting import format_compact_json, split_into_parts
from peridotcove.platform.document import CONFIGURATION_KEY, parse_document
from peridotcove.platform.store import StoreClient
from peridotcove.platform.translation import translate
from peridotcove.revision_numbers import get_version, make_revision_number

log = get_logger("store")


class StoreConfigurationClient:
    """Presents the content of the store as revisions and parts of a configuration.

    Used in place of `peridotcove.publisher.client.PlatformClient`. Its manifests
    contain the content of their parts, so that parts are not read separately.

    A store that comes back from an older backup may have an older version of the
    operator's document. The newest version that was read stays in use, also when the
    store has one that can't be read or that the nodes refuse, so that a faulty document
    hides no change of the servers' entries.

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
        # The document before, while it is not known whether nodes accept the newest.
        self._previous_document = None

    @property
    def calls(self):
        """Number of calls made so far."""
        return self._client.calls

    def close(self):
        """Close all connections."""
        self._client.close()

    async def read_manifest(self, after, wait_ms, refused=0):
        """Return the manifest of a later revision, or None if there is none.

        Parameters
        ----------
        after : int
            Revision that the caller has in force.
        wait_ms : int
            Maximum wait in ms for a later revision.
        refused : int
            Later revision that the caller has refused, or 0.

        Raises
        ------
        PlatformDown
            If the store gave no valid answer.
        """
        if refused and self._has_version_of(refused):
            self._restore_previous_document(after, f"revision {refused} was refused")
        wait_ms = 0 if self._make_revision_number() > after else wait_ms
        await self._client.update(wait_ms)
        self._update_document()
        if self._document is None:
            return None
        data_by_name = self._make_parts(after)
        revision = self._make_revision_number()
        if revision <= after or revision == refused:
            return None
        descriptors = {
            name: self._make_descriptor(name, data, revision)
            for name, data in data_by_name.items()
        }
        self._descriptor_by_name = descriptors
        return Manifest(revision, descriptors, data_by_name)

    def _make_parts(self, after):
        """Return the content of each part by name.

        Raises
        ------
        PlatformDown
            If the only document that was read can't be split into parts.
        """
        while True:
            raw = translate(self._document, self._client.item_by_key, self._store)
            try:
                part_by_name = split_into_parts(raw)
            except InvalidSettings as error:
                reason = "; ".join(map(str, error.exceptions))
                if not self._restore_previous_document(after, reason):
                    raise PlatformDown(f"{CONFIGURATION_KEY}: {reason}") from None
                continue
            return {
                name: format_compact_json(part).encode()
                for name, part in part_by_name.items()
            }

    def _has_version_of(self, revision):
        document = self._document
        return document is not None and document.version == get_version(revision)

    def _restore_previous_document(self, after, reason):
        """Use the document before the newest; return whether there is one.

        A version that is in force was valid, so that the fault is not the document's.
        """
        previous = self._previous_document
        if previous is None or get_version(after) >= self._document.version:
            return False
        log.error(
            "version %d of the operator's document can't be put in force, version %d "
            "stays in use: %.300s",
            self._document.version,
            previous.version,
            reason,
        )
        self._document, self._previous_document = previous, None
        return True

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
            self._previous_document, self._document = current, document
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
