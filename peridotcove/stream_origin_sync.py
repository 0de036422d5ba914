"""Decides at which software versions streams may go on, and shares what it needs."""

from peridotcove.exceptions import LinkDown, PeerTooOld, ProtocolError
from peridotcove.logs import get_logger
from peridotcove.nodes.messages import (
    ShareOrigins,
    ShareVersions,
    pack_hashes,
    unpack_hashes,
)
from peridotcove.software_versions import SoftwareVersions, VersionReport
from peridotcove.stream_origins import StreamOrigin, StreamOrigins

# Owners of a shard, in order of rank, that are told where streams began.
INFORMED_OWNERS = 3

log = get_logger("leases")


class StreamOriginSync:
    """Knows where streams began, also those of entry nodes that are gone.

    A node that has granted a lease for a stream or was told of it knows where it began.
    A node that knows that a single software version of a model has served knows that of
    any stream. Since a node that missed a release may be wrong about that, owners are
    asked first. While a node is not certain of a single version, it tells the owners of
    the model's shards where the streams that it has seen began. Nodes that start learn
    from the others which versions have served.

    Parameters
    ----------
    node : str
        Name of this node.
    fleet : FleetView
        This node's view of the fleet.
    network : Network
        Links to the other nodes.
    clock : Clock
        Source of time.
    is_current : callable
        Whether this node would have heard of engines that joined a moment ago.

    Attributes
    ----------
    origins : StreamOrigins
        Origins of the streams that this node knows.
    versions : SoftwareVersions
        Software versions that have served lately.
    """

    def __init__(self, node, fleet, network, clock, is_current=lambda: True):
        self._node = node
        self._fleet = fleet
        self._network = network
        self._is_current = is_current
        self.origins = StreamOrigins(clock)
        self.versions = SoftwareVersions(clock)
        # Owners that were told of all streams that this node knows.
        self._informed_by_model = {}

    def update(self):
        """Apply the fleet's current configuration."""
        self.versions.set_configuration(self._fleet.configuration)

    def record(self, stream, engine):
        """Record that an engine begins a stream, or goes on with it.

        Parameters
        ----------
        stream : int
            Hash of its id; 0 if it can't be taken up again.
        engine : Engine or None
            The engine, as this node knows it.
        """
        if stream and engine is not None:
            origin = StreamOrigin(engine.model, engine.software_version)
            self.origins.record(stream, origin)

    def find_origin(self, stream, models):
        """Return the `StreamOrigin` of a stream, or None if this node doesn't know it.

        Parameters
        ----------
        stream : int
            Hash of its id; 0 if its caller did not name it.
        models : list of str
            Models that may have begun it.
        """
        known = self.origins.find(stream) if stream else None
        return self.find_only_origin(models) if known is None else known

    def find_only_origin(self, models):
        """Return the `StreamOrigin` that all streams have, or None if it isn't certain.

        Parameters
        ----------
        models : list of str
            Models that may have begun them.
        """
        if len(models) != 1 or not self._is_current():
            return None
        version = self.versions.find_only(models[0])
        return None if version is None else StreamOrigin(models[0], version)

    def tick(self):
        """Tell the owners of shards where streams began; call it often.

        Nothing is sent while each model is known to have one software version.
        """
        shards_by_model = self._fleet.shards_by_model
        for model, shards in shards_by_model.items():
            if self.find_only_origin([model]) is not None:
                self._informed_by_model.pop(model, None)
                continue
            unshared = self.origins.pop_unshared(model)
            informed = self._informed_by_model.get(model, set())
            owners = self._find_owners(shards)
            self._informed_by_model[model] = {
                owner
                for owner in owners
                if self._share(
                    owner,
                    unshared if owner in informed else self.origins.find_all(model),
                )
            }

    def _share(self, owner, streams_by_origin):
        """Tell an owner where streams began; return whether all of it was sent."""
        return all(
            self._send(
                owner,
                ShareOrigins(
                    origin.model, origin.software_version, pack_hashes(streams)
                ),
            )
            for origin, streams in streams_by_origin.items()
        )

    def inform_joined(self, node):
        """Tell a node that has started what it missed.

        Parameters
        ----------
        node : str
            Name of the node.
        """
        for informed in self._informed_by_model.values():
            informed.discard(node)
        reports = [
            [one.model, one.known_ms, [*map(list, one.unseen_ms_by_version.items())]]
            for one in self.versions.reports()
        ]
        if reports:
            self._send(node, ShareVersions(reports))

    def _find_owners(self, shards):
        owners = {
            owner
            for shard in shards
            for owner in self._fleet.rank_owners(shard.name)[:INFORMED_OWNERS]
        }
        return sorted(owners - {self._node})

    def receive(self, message):
        """Record what another node reports.

        Parameters
        ----------
        message : ShareOrigins or ShareVersions
            The report.

        Raises
        ------
        ProtocolError
            If it is malformed.
        """
        if isinstance(message, ShareVersions):
            for report in [_read_report(one) for one in message.reports]:
                self.versions.merge(report)
            return
        origin = StreamOrigin(message.model, message.software_version)
        self.origins.merge(unpack_hashes(message.streams), origin)

    def _send(self, node, message):
        """Send a message; return whether it need not be sent again."""
        try:
            self._network.send(node, message)
        except PeerTooOld as error:
            log.debug("origins of streams were not sent: %s", error)
        except LinkDown as error:
            log.info("origins of streams were not sent to %s: %s", node, error)
            return False
        return True


def _read_report(item):
    try:
        model, known_ms, pairs = item
        unseen_ms_by_version = dict(pairs)
        times_ms = [known_ms, *unseen_ms_by_version.values()]
        texts = [model, *unseen_ms_by_version]
    except (TypeError, ValueError):
        raise ProtocolError(f"{item!r:.100} is no report of versions") from None
    is_valid = all(type(time_ms) is int and time_ms >= 0 for time_ms in times_ms)
    if not is_valid or not all(type(text) is str for text in texts):
        raise ProtocolError(f"{item!r:.100} is no report of versions")
    return VersionReport(model, known_ms, unseen_ms_by_version)
