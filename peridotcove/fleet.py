"""What one node believes about the fleet: configuration, live nodes, shards, owners."""

from peridotcove.models import Configuration
from peridotcove.ownership import owner_rank, shards_of


class Fleet:
    """The node's view, from which every role follows.

    Parameters
    ----------
    region : str
        Region of the node.

    Attributes
    ----------
    configuration : Configuration
        Revision in force.
    nodes : tuple of Instance
        Nodes of the region believed live, this one included.
    shard_by_name : dict
        Shards of the region's engines by name.
    """

    def __init__(self, region):
        self.region = region
        self.configuration = Configuration()
        self.nodes = ()
        self.shard_by_name = {}
        self.shards_by_model = {}
        self._customer_by_digest = {}
        self._rank_by_shard = {}

    def set_configuration(self, configuration):
        """Put a revision in force.

        Parameters
        ----------
        configuration : Configuration
            The revision.
        """
        self.configuration = configuration
        shards = shards_of(configuration, self.region)
        self.shard_by_name = {shard.name: shard for shard in shards}
        self.shards_by_model = {}
        for shard in shards:
            self.shards_by_model.setdefault(shard.model, []).append(shard)
        self._customer_by_digest = {
            digest: customer
            for customer in configuration.customer_by_name.values()
            for digest in customer.key_digests
        }
        self._rank_by_shard = {}

    def set_nodes(self, nodes):
        """Learn which nodes of the region are believed live.

        Parameters
        ----------
        nodes : tuple of Instance
            The nodes, this one included.

        Returns
        -------
        bool
            Whether the set changed.
        """
        if nodes == self.nodes:
            return False
        self.nodes = nodes
        self._rank_by_shard = {}
        return True

    def find_customer(self, digest):
        """Return the customer whose API key has a digest, or None.

        Parameters
        ----------
        digest : str
            Hex SHA-256 digest of the key.
        """
        return self._customer_by_digest.get(digest)

    def rank_owners(self, shard):
        """Return the names of the region's nodes, first owner of a shard first.

        Parameters
        ----------
        shard : str
            Name of the shard.
        """
        rank = self._rank_by_shard.get(shard)
        if rank is None:
            rank = self._rank_by_shard[shard] = owner_rank(shard, self.nodes)
        return rank
