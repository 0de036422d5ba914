"""Decides at which software versions streams may go on, and shares what it needs."""

from peridotcove.exceptions import LinkDown
from peridotcove.logs import get_logger
from peridotcove.nodes.messages import ShareOrigins, pack_hashes, unpack_hashes
from peridotcove.software_versions import SoftwareVersions
from peridotcove.stream_origins import StreamOrigin, StreamOrigins

# Owners of a shard, in order of rank, that are told where streams began.
INFORMED_OWNERS = 3

log = get_logger("leases")


class StreamOriginSync:
    """Knows where streams began, also those of entry nodes that are gone.

    With a single software version of a model in service, where a stream began follows
    from the view of any node. Only while there are several, nodes tell the owners of
    the model's shards where each stream began.

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

    Attributes
    ----------
    origins : StreamOrigins
        Origins of the streams that this node knows.
    versions : SoftwareVersions
        Software versions that have served lately.
    """

    def __init__(self, node, fleet, network, clock):
        self._node = node
        self._fleet = fleet
        self._network = network
        self.origins = StreamOrigins(clock)
        self.versions = SoftwareVersions(clock)

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
        """Return the `StreamOrigin` of a stream, or None if it isn't certain.

        Parameters
        ----------
        stream : int
            Hash of its id; 0 if its caller did not name it.
        models : list of str
            Models that may have begun it.
        """
        origin = self.origins.find(stream) if stream else None
        if origin is None and len(models) == 1:
            version = self.versions.find_only(models[0])
            origin = None if version is None else StreamOrigin(models[0], version)
        return origin

    def tick(self):
        """Tell the owners of shards where streams began; call it often.

        Nothing is sent while each model has one software version.
        """
        shards_by_model = self._fleet.shards_by_model
        mixed = {
            model
            for model in shards_by_model
            if len(self.versions.find_recent(model)) > 1
        }
        if not mixed:
            return
        for origin, streams in self.origins.pop_unshared(mixed).items():
            message = ShareOrigins(
                origin.model, origin.software_version, pack_hashes(streams)
            )
            for owner in self._find_owners(shards_by_model[origin.model]):
                self._send(owner, message)

    def _find_owners(self, shards):
        owners = {
            owner
            for shard in shards
            for owner in self._fleet.rank_owners(shard.name)[:INFORMED_OWNERS]
        }
        return sorted(owners - {self._node})

    def receive(self, message):
        """Record the origins that another node reports.

        Parameters
        ----------
        message : ShareOrigins
            The report.
        """
        origin = StreamOrigin(message.model, message.software_version)
        self.origins.merge(unpack_hashes(message.streams), origin)

    def _send(self, node, message):
        try:
            self._network.send(node, message)
        except LinkDown as error:
            log.info("origins of streams were not sent to %s: %s", node, error)
