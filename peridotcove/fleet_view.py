"""What one node believes about the fleet: configuration, live nodes, shards, owners."""

from attrs import evolve

from peridotcove.host_routes import HostRoutes
from peridotcove.models import Configuration, LifecycleStatus
from peridotcove.ownership import compute_shards, rank_shard_owners
from peridotcove.shard_selection import ShardLoad, ShardSelector

MARKED = ("engine_by_name", "service_by_name")


class FleetView:
    """The node's view, from which every role follows.

    Parameters
    ----------
    region : str
        Region of the node.

    Attributes
    ----------
    configuration : Configuration
        Revision in force, with what is believed to be leaving marked so.
    nodes : tuple of Instance
        Nodes of the region believed live, this one included.
    shard_by_name : dict
        Shards of the region's engines by name.
    """

    def __init__(self, region):
        self.region = region
        self.configuration = self._described = Configuration()
        self._leaving = frozenset()
        self.nodes = ()
        self._zone_by_node = {}
        self.shard_by_name = {}
        self.shards_by_model = {}
        self._picker_by_model = {}
        self._total_by_shard = {}
        self._customer_by_digest = {}
        self._host_routes = HostRoutes({})
        self._rank_by_shard = {}

    def set_configuration(self, configuration):
        """Put a revision in force.

        Parameters
        ----------
        configuration : Configuration
            The revision.
        """
        before, self._described = self._described, configuration
        if all(_same(before, configuration, part) for part in MARKED):
            marked = {part: getattr(self.configuration, part) for part in MARKED}
            self.configuration = evolve(configuration, **marked)
        else:
            self._apply()
        if not _same(before, configuration, "customer_by_name"):
            self._index_customers()
        if not _same(before, configuration, "host_route_by_name"):
            self._host_routes = HostRoutes(configuration.host_route_by_name)
        parts = ("engine_by_name", "zone_by_name", "model_by_name", "bounds")
        if not all(_same(before, configuration, part) for part in parts):
            self._index_shards()

    def _index_customers(self):
        self._customer_by_digest = {
            digest: customer
            for customer in self._described.customer_by_name.values()
            for digest in customer.key_digests
        }

    def _index_shards(self):
        shards = compute_shards(self._described, self.region)
        self.shard_by_name = {shard.name: shard for shard in shards}
        self.shards_by_model = {}
        for shard in shards:
            self.shards_by_model.setdefault(shard.model, []).append(shard)
        self._picker_by_model = {
            model: ShardSelector(shards, self._weigh(shards))
            for model, shards in self.shards_by_model.items()
        }
        self._rank_by_shard = {}

    def _weigh(self, shards):
        engine_by_name = self.configuration.engine_by_name
        return {
            shard.name: sum(
                engine_by_name[name].weight
                for name in shard.engines
                if engine_by_name[name].status is LifecycleStatus.IN_SERVICE
            )
            for shard in shards
        }

    def set_shard_loads(self, total_by_shard):
        """Learn the loads of shards that their owners told.

        Parameters
        ----------
        total_by_shard : dict of str to int
            Requests in progress by shard.
        """
        self._total_by_shard = total_by_shard

    def find_shard_loads(self, model):
        """Return the `ShardLoad` of each shard of a model whose owner told it.

        Parameters
        ----------
        model : str
            Name of the model.
        """
        shards = self.shards_by_model.get(model, ())
        weight_by_shard = self._weigh(shards)
        return {
            shard.name: ShardLoad(
                self._total_by_shard[shard.name], weight_by_shard[shard.name]
            )
            for shard in shards
            if shard.name in self._total_by_shard
        }

    def pick_shard(self, model, chat_key, hint):
        """Return the name of the shard for a chat, or an empty name.

        Parameters
        ----------
        model : str
            Model without adapter.
        chat_key : int
            Key of the chat.
        hint : str
            Engine of the chat's last turn, or empty.
        """
        shards = self.shards_by_model.get(model, ())
        if len(shards) < 2:
            return shards[0].name if shards else ""
        return self._picker_by_model[model].select_shard(
            chat_key, hint, self.find_shard_loads(model)
        )

    def set_leaving(self, names):
        """Learn which engines and endpoints are leaving; return whether that is new.

        Parameters
        ----------
        names : iterable of str
            Their names.
        """
        leaving = frozenset(names)
        if leaving == self._leaving:
            return False
        self._leaving = leaving
        self._apply()
        return True

    def _apply(self):
        described = self._described
        engines = {
            name: self._mark(engine)
            for name, engine in described.engine_by_name.items()
        }
        services = {
            name: evolve(service, endpoints=tuple(map(self._mark, service.endpoints)))
            for name, service in described.service_by_name.items()
        }
        self.configuration = evolve(
            described, engine_by_name=engines, service_by_name=services
        )

    def _mark(self, item):
        if item.name in self._leaving and item.status is LifecycleStatus.IN_SERVICE:
            return evolve(item, status=LifecycleStatus.LEAVING)
        return item

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
        self._zone_by_node = {item.name: item.zone for item in nodes}
        self._rank_by_shard = {}
        return True

    def zone_of(self, node):
        """Return the zone of a live node, or an empty name.

        Parameters
        ----------
        node : str
            Name of the node.
        """
        return self._zone_by_node.get(node, "")

    def find_customer(self, digest):
        """Return the customer whose API key has a digest, or None.

        Parameters
        ----------
        digest : str
            Hex SHA-256 digest of the key.
        """
        return self._customer_by_digest.get(digest)

    def find_route(self, host, path):
        """Return the host route of a request, or None.

        Parameters
        ----------
        host : str
            Host that the caller names.
        path : str
            Path without its query.
        """
        return self._host_routes.find(host, path)

    def rank_owners(self, shard):
        """Return the names of the region's nodes, first owner of a shard first.

        Parameters
        ----------
        shard : str
            Name of the shard.
        """
        rank = self._rank_by_shard.get(shard)
        if rank is None:
            rank = self._rank_by_shard[shard] = rank_shard_owners(shard, self.nodes)
        return rank


def _same(before, after, part):
    # A revision keeps the objects of the sections that it does not change.
    return getattr(before, part) is getattr(after, part)
