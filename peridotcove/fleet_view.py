"""One node's view of the fleet: configuration, live nodes, shards and their owners."""

from attrs import evolve

from peridotcove.engine_paths import find_address
from peridotcove.host_routes import HostRoutes
from peridotcove.models import Configuration, LifecycleStatus
from peridotcove.ownership import compute_shards, rank_shard_owners
from peridotcove.residency import ANY_REGION, find_serving_regions
from peridotcove.shard_selection import ShardLoad, ShardSelector

STATUS_SECTIONS = ("engine_by_name", "service_by_name")


class FleetView:
    """One node's view of the fleet, from which it derives what it owns and serves.

    Parameters
    ----------
    region : str
        Region of the node.

    Attributes
    ----------
    configuration : Configuration
        Configuration in force, in which leaving engines and endpoints have the status
        `LifecycleStatus.LEAVING`.
    nodes : tuple of Instance
        Live nodes of the region, including this one.
    shard_by_name : dict of Shard
        Shards of the region by name.
    shards_by_model : dict of list of Shard
        Shards of the region by name of their model.
    seen_models : set of str
        Names of the models that have had engines since this node started.
    """

    def __init__(self, region):
        self.region = region
        self.configuration = self._accepted = Configuration()
        self._leaving = frozenset()
        self.nodes = ()
        self._zone_by_node = {}
        self.shard_by_name = {}
        self.shards_by_model = {}
        self.seen_models = set()
        self._picker_by_model = {}
        self._total_by_shard = {}
        self._customer_by_digest = {}
        self._host_routes = HostRoutes({})
        self._rank_by_shard = {}
        self._serving_regions_by_shard = {}

    def set_configuration(self, configuration):
        """Set the configuration in force.

        Parameters
        ----------
        configuration : Configuration
            Accepted configuration.
        """
        previous, self._accepted = self._accepted, configuration
        self._serving_regions_by_shard = {}
        if all(
            _is_unchanged(previous, configuration, section)
            for section in STATUS_SECTIONS
        ):
            marked = {
                section: getattr(self.configuration, section)
                for section in STATUS_SECTIONS
            }
            self.configuration = evolve(configuration, **marked)
        else:
            self._update_configuration()
        if not _is_unchanged(previous, configuration, "customer_by_name"):
            self._index_customers()
        if not _is_unchanged(previous, configuration, "host_route_by_name"):
            self._host_routes = HostRoutes(configuration.host_route_by_name)
        sections = ("engine_by_name", "zone_by_name", "model_by_name", "bounds")
        if not all(
            _is_unchanged(previous, configuration, section) for section in sections
        ):
            self._index_shards()

    def _index_customers(self):
        self._customer_by_digest = {
            digest: customer
            for customer in self._accepted.customer_by_name.values()
            for digest in customer.key_digests
        }

    def _index_shards(self):
        shards = compute_shards(self._accepted, self.region)
        self.shard_by_name = {shard.name: shard for shard in shards}
        self.shards_by_model = {}
        for shard in shards:
            self.shards_by_model.setdefault(shard.model, []).append(shard)
        self.seen_models |= self.shards_by_model.keys()
        self._picker_by_model = {
            model: ShardSelector(shards, self._sum_weights(shards))
            for model, shards in self.shards_by_model.items()
        }
        self._rank_by_shard = {}

    def _sum_weights(self, shards):
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
        """Set the shard loads that the owners report.

        Parameters
        ----------
        total_by_shard : dict of str to int
            Requests in progress by shard.
        """
        self._total_by_shard = total_by_shard

    def find_shard_loads(self, model):
        """Return the `ShardLoad` of each shard of a model whose owner reports its load.

        Parameters
        ----------
        model : str
            Name of the model.
        """
        shards = self.shards_by_model.get(model, ())
        weight_by_shard = self._sum_weights(shards)
        return {
            shard.name: ShardLoad(
                self._total_by_shard[shard.name], weight_by_shard[shard.name]
            )
            for shard in shards
            if shard.name in self._total_by_shard
        }

    def find_serving_regions(self, model):
        """Return the regions in which engines of a model are in service.

        Parameters
        ----------
        model : str
            Name of the model.

        Returns
        -------
        frozenset of str
        """
        shards = self.shards_by_model.get(model, ())
        return frozenset().union(*map(self._find_shard_regions, shards))

    def _find_shard_regions(self, shard):
        regions = self._serving_regions_by_shard.get(shard.name)
        if regions is None:
            regions = find_serving_regions(self.configuration, shard.engines)
            self._serving_regions_by_shard[shard.name] = regions
        return regions

    def pick_shard(self, model, chat_key, hint, limit=ANY_REGION):
        """Return the name of the shard for a chat; empty if the model has none.

        Parameters
        ----------
        model : str
            Name of the model, without an adapter.
        chat_key : int
            Key of the chat.
        hint : str
            Name of the engine of the chat's last turn, or empty.
        limit : RegionLimit
            Regions in which the shard has to have an engine in service.
        """
        shards = self.shards_by_model.get(model, ())
        if limit.is_limited:
            shards = [
                shard
                for shard in shards
                if any(map(limit.allows, self._find_shard_regions(shard)))
            ]
        if len(shards) < 2:
            return shards[0].name if shards else ""
        return self._picker_by_model[model].select_shard(
            chat_key,
            hint,
            self.find_shard_loads(model),
            {shard.name for shard in shards} if limit.is_limited else None,
        )

    def set_leaving(self, names):
        """Set which engines and endpoints are leaving; return whether that changed.

        Parameters
        ----------
        names : iterable of str
            Names of the leaving engines and endpoints.
        """
        leaving = frozenset(names)
        if leaving == self._leaving:
            return False
        self._leaving = leaving
        self._update_configuration()
        return True

    def _update_configuration(self):
        accepted = self._accepted
        self._serving_regions_by_shard = {}
        engines = {
            name: self._mark_leaving(engine)
            for name, engine in accepted.engine_by_name.items()
        }
        services = {
            name: evolve(
                service, endpoints=tuple(map(self._mark_leaving, service.endpoints))
            )
            for name, service in accepted.service_by_name.items()
        }
        self.configuration = evolve(
            accepted, engine_by_name=engines, service_by_name=services
        )

    def _mark_leaving(self, item):
        if item.name in self._leaving and item.status is LifecycleStatus.IN_SERVICE:
            return evolve(item, status=LifecycleStatus.LEAVING)
        return item

    def set_nodes(self, nodes):
        """Set the live nodes of the region.

        Parameters
        ----------
        nodes : tuple of Instance
            Live nodes, including this one.

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
        """Return the zone of a live node; empty if the node is not live.

        Parameters
        ----------
        node : str
            Name of the node.
        """
        return self._zone_by_node.get(node, "")

    def find_engine_at(self, address):
        """Return the engine at an address, or None.

        Parameters
        ----------
        address : str
            ``HOST:PORT``.
        """
        for engine in self.configuration.engine_by_name.values():
            if find_address(engine.url) == address:
                return engine
        return None

    def serving_addresses(self):
        """Return the addresses of the engines in service, ``HOST:PORT``."""
        return [
            find_address(engine.url)
            for engine in self.configuration.engine_by_name.values()
            if engine.status is LifecycleStatus.IN_SERVICE
        ]

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
            Host of the request.
        path : str
            Path of the request, without the query.
        """
        return self._host_routes.find(host, path)

    def rank_owners(self, shard):
        """Return the names of the live nodes by rank; the first owns the shard.

        Parameters
        ----------
        shard : str
            Name of the shard.
        """
        rank = self._rank_by_shard.get(shard)
        if rank is None:
            rank = self._rank_by_shard[shard] = rank_shard_owners(shard, self.nodes)
        return rank


def _is_unchanged(previous, current, section):
    # A new revision keeps the objects of the sections that it doesn't change.
    return getattr(previous, section) is getattr(current, section)
