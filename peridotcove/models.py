"""Data classes of the domain: customers, zones, engines, services, lease requests."""

import enum
import math

from attrs import field, frozen

from peridotcove.schema import added_field, key_metadata, number_field

ZONES_KEY = key_metadata("zones")
MODELS_KEY = key_metadata("models")
ENGINES_KEY = key_metadata("engines")
SERVICES_KEY = key_metadata("services")
CUSTOMERS_KEY = key_metadata("customers")
HOST_ROUTES_KEY = key_metadata("host_routes")


class LifecycleStatus(enum.Enum):
    """Lifecycle stage of an engine or endpoint, set by the operators."""

    ON_ORDER = "on-order"
    IN_SERVICE = "in-service"
    LEAVING = "leaving"
    RETIRED = "retired"


class InstanceState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Customer:
    """An organization that sends requests.

    Attributes
    ----------
    name : str
        Unique name.
    key_digests : tuple of str
        Hex SHA-256 digests of the API keys.
    requests_per_second : float
        Allowed requests per second over all nodes.
    concurrency : int
        Allowed concurrent requests over all nodes.
    weight : float
        Weight in fair queuing, relative to other customers.
    priority : int
        Priority class in the queue; 0 is served first.
    label : str
        Name by which engines know the customer, if it isn't `name`.
    regions : tuple of str
        Regions in which its requests may run; all if empty.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    requests_per_second: float = number_field(0.001, 1e6, default=100.0)
    concurrency: int = number_field(1, 1_000_000, default=64)
    weight: float = number_field(0.001, 1000, default=1.0)
    priority: int = number_field(0, 9, default=1)
    label: str = ""
    regions: tuple[str, ...] = added_field(3, ())


@frozen
class Zone:
    """An availability zone.

    Attributes
    ----------
    name : str
        Unique name.
    region : str
        Region that the zone belongs to.
    evacuated : bool
        Whether its engines and endpoints get no new work.
    residency_region : str
        Region that counts for customers and host routes that allow only some regions,
        if it isn't `region`. It may divide a region whose nodes share all engines.
    """

    name: str
    region: str
    evacuated: bool = added_field(2, False)
    residency_region: str = added_field(3, "")


@frozen
class Model:
    """A model that engines serve.

    Attributes
    ----------
    name : str
        Name that callers use.
    version : str
        Version of the weights that engines should run.
    adapters : tuple of str
        Adapters that callers may select, as ``model:adapter``.
    weight_bytes : int
        Size of the weights in bytes.
    health_path : str
        Path at which engines tell that they live.
    cold_rate : float
        Requests per second that an engine bears while it is cold, over all nodes; 0 for
        no limit.
    """

    name: str
    version: str = "1"
    adapters: tuple[str, ...] = ()
    weight_bytes: int = number_field(0, 1 << 50, default=0)
    health_path: str = "/health"
    cold_rate: float = number_field(0, 1e6, default=0.0, protocol=2)


@frozen
class Engine:
    """A model server.

    Attributes
    ----------
    name : str
        Unique name.
    url : str
        Base URL, ``http://IP:PORT``.
    zone : str
        Availability zone.
    model : str
        Name of the model that it should serve.
    capacity : int
        Number of requests that it can run concurrently.
    weight : float
        Capacity relative to other engines; the load bound applies relative to it.
    cache_tokens : int
        Size of the prefix cache in tokens.
    role : str
        Role that it should have, such as ``"mixed"``.
    status : LifecycleStatus
        Lifecycle stage.
    checks_fencing : bool
        Whether it rejects orders with an outdated fencing number.
    shares_cache : bool
        Whether it can fetch cached prefixes from another engine of its model.
    incarnation : int
        Distinguishes restarts of the engine; 0 if unknown.
    software_version : str
        Version of its software, not of the weights; empty if unknown. A model may have
        engines of several versions.
    cold_ms : int
        Time in ms for which it stayed cold when it reported that; 0 if it is not cold.
    cold_report : int
        Number of that report; a later one has a larger number. 0 if it is not cold.
    """

    name: str
    url: str
    zone: str
    model: str
    capacity: int = number_field(1, 100_000, default=32)
    weight: float = number_field(0.001, 1000, default=1.0)
    cache_tokens: int = number_field(0, 1 << 40, default=1_000_000)
    role: str = "mixed"
    status: LifecycleStatus = LifecycleStatus.IN_SERVICE
    checks_fencing: bool = True
    shares_cache: bool = False
    incarnation: int = 0
    software_version: str = added_field(2, "")
    cold_ms: int = number_field(0, math.inf, default=0, protocol=2)
    cold_report: int = number_field(0, math.inf, default=0, protocol=2)


@frozen
class Endpoint:
    """A server of a plain service.

    Attributes
    ----------
    name : str
        Unique name.
    url : str
        Base URL, ``http://IP:PORT``.
    zone : str
        Availability zone.
    status : LifecycleStatus
        Lifecycle stage.
    """

    name: str
    url: str
    zone: str
    status: LifecycleStatus = LifecycleStatus.IN_SERVICE


@frozen
class Route:
    """A rule that defines which calls of a service may be repeated.

    Attributes
    ----------
    prefix : str
        Path prefix below the service, such as ``"/reservations"``.
    methods : tuple of str
        HTTP methods to which the rule applies; all if empty.
    repeatable : bool
        Whether a call may be executed more than once.
    """

    prefix: str = "/"
    methods: tuple[str, ...] = ()
    repeatable: bool = False


@frozen
class Service:
    """A plain HTTP service, which is not an LLM engine.

    Attributes
    ----------
    name : str
        Name in the path, ``/services/NAME/...``.
    endpoints : tuple of Endpoint
        Servers of the service.
    routes : tuple of Route
        Rules; the longest matching prefix applies. Without a match only GET and
        HEAD calls may be repeated.
    checks_keys : bool
        Whether the endpoints reject a second request with the same
        ``Idempotency-Key``.
    """

    name: str
    endpoints: tuple[Endpoint, ...] = ()
    routes: tuple[Route, ...] = ()
    checks_keys: bool = False

    def repeatable(self, method, path):
        """Return whether a call may be executed more than once.

        Parameters
        ----------
        method : str
            HTTP method in upper case.
        path : str
            Path below the service, with a leading slash.
        """
        best = None
        for route in self.routes:
            if route.methods and method not in route.methods:
                continue
            if path.startswith(route.prefix) and (
                best is None or len(route.prefix) > len(best.prefix)
            ):
                best = route
        if best is not None:
            return best.repeatable
        return method in ("GET", "HEAD")


@frozen
class Target:
    """A model that receives a share of a host route's requests.

    Attributes
    ----------
    model : str
        Name of the model whose engines answer.
    weight : float
        Share relative to the route's other targets.
    """

    model: str
    weight: float = number_field(0, 1e6, default=1.0)


@frozen
class HostRoute:
    """A rule that forwards requests for a host and path prefix unchanged.

    Attributes
    ----------
    name : str
        Unique name.
    host : str
        Value of the ``Host`` header.
    prefix : str
        Path prefix, with a slash at both ends; the longest match applies.
    targets : tuple of Target
        Models whose engines may answer.
    repeatable : bool
        Whether a request may be executed more than once.
    streaming : bool
        Whether the response is an event stream, forwarded as it arrives.
    resumable : bool
        Whether another engine can resume a stream after its last event.
    sticky : bool
        Whether requests list the parts of their prompt.
    public : bool
        Whether requests are accepted without an API key.
    attempts : int
        Maximum number of engines to which one request may be sent.
    priority : int
        Priority class in the queue; 0 is served first.
    timeout_ms : int
        Maximum time in ms that a caller waits.
    goal_ms : int
        Target time in ms for the response, or for a stream's first event.
    regions : tuple of str
        Regions in which its requests may run; all if empty.
    """

    name: str
    host: str
    prefix: str = "/"
    targets: tuple[Target, ...] = ()
    repeatable: bool = False
    streaming: bool = False
    resumable: bool = False
    sticky: bool = False
    public: bool = False
    attempts: int = number_field(1, 100, default=1)
    priority: int = number_field(0, 9, default=5)
    timeout_ms: int = number_field(1, 86_400_000, default=60_000)
    goal_ms: int = number_field(1, 86_400_000, default=1_000)
    regions: tuple[str, ...] = added_field(3, ())


@frozen
class Bounds:
    """Limits that apply to the whole fleet.

    Attributes
    ----------
    load_bound : float
        Maximum load of an engine as a multiple of the mean; at least 1.
    block_chars : int
        Characters of a prompt per cache block.
    queue_ms : int
        Maximum time in ms that a request waits for an engine.
    retry_share : float
        Allowed retries as a share of first attempts.
    shard_engines : int
        Maximum number of engines in a shard, which has one owner.
    ticket_ms : int
        Validity of a ticket in ms.
    weight_store_bytes_per_second : int
        Read rate of the store of model weights, in bytes per second.
    keys_required : bool
        Whether requests on host routes need an API key, unless the route is public.
    cold_rate_ratio : float
        Largest number of requests that reach a cold engine in any second, as a multiple
        of its rate.
    cold_rate_extra : int
        Requests that may reach it in addition.
    zone_traffic : bool
        Whether owners decide how many requests leave the zone in which they arrived;
        otherwise an engine in another zone has a small fixed cost.
    zone_crossing_ms : float
        Time in ms for which a caller waits longer for an engine in another zone.
    zone_kilobyte_ms : float
        Price of 1,000 bytes between zones, in ms of an engine's time.
    """

    load_bound: float = number_field(1.0, 100.0, default=1.25)
    block_chars: int = number_field(16, 65_536, default=256)
    queue_ms: int = number_field(0, 600_000, default=10_000)
    retry_share: float = number_field(0.0, 1.0, default=0.1)
    shard_engines: int = number_field(1, 10_000, default=16)
    ticket_ms: int = number_field(1_000, 86_400_000, default=3_600_000)
    weight_store_bytes_per_second: int = number_field(1, 1 << 50, default=1_000_000_000)
    keys_required: bool = False
    cold_rate_ratio: float = number_field(1.0, 100.0, default=1.0, protocol=2)
    cold_rate_extra: int = number_field(0, 1_000_000, default=0, protocol=2)
    zone_traffic: bool = added_field(3, False)
    zone_crossing_ms: float = number_field(0.0, 10_000.0, default=4.0, protocol=3)
    zone_kilobyte_ms: float = number_field(0.0, 10_000.0, default=0.02, protocol=3)


@frozen
class Configuration:
    """One valid revision of the operators' configuration.

    Attributes
    ----------
    revision : int
        Increases with every change; 0 is the empty configuration. It has no upper
        limit: `peridotcove.revision_numbers` packs the operator's version into it.
    bounds : Bounds
        Limits for the whole fleet.
    zone_by_name, model_by_name, engine_by_name : dict
        Zones, models and engines by name.
    service_by_name, customer_by_name, host_route_by_name : dict
        Services, customers and host routes by name.
    """

    revision: int = number_field(0, math.inf, default=0)
    bounds: Bounds = Bounds()
    zone_by_name: dict[str, Zone] = field(factory=dict, metadata=ZONES_KEY)
    model_by_name: dict[str, Model] = field(factory=dict, metadata=MODELS_KEY)
    engine_by_name: dict[str, Engine] = field(factory=dict, metadata=ENGINES_KEY)
    service_by_name: dict[str, Service] = field(factory=dict, metadata=SERVICES_KEY)
    customer_by_name: dict[str, Customer] = field(factory=dict, metadata=CUSTOMERS_KEY)
    host_route_by_name: dict[str, HostRoute] = field(
        factory=dict, metadata=HOST_ROUTES_KEY
    )


@frozen
class Instance:
    """An instance in the platform's list.

    Attributes
    ----------
    name : str
        Name; for an engine or endpoint the name in the configuration.
    kind : str
        ``"node"``, ``"engine"`` or ``"endpoint"``.
    host : str
        IP address.
    port : int
        Port; for a node the port of its links to other nodes.
    zone : str
        Availability zone.
    state : InstanceState
        Live or leaving.
    power : float
        Capacity of a node for work other than its callers' requests, relative to
        other nodes.
    """

    name: str
    kind: str
    host: str
    port: int
    zone: str
    state: InstanceState = InstanceState.LIVE
    power: float = 1.0


@frozen
class LoadReport:
    """An engine's own report of its load, which may be out of date.

    Attributes
    ----------
    engine : str
        Name of the engine.
    running, waiting : int
        Number of requests in progress and in its queue.
    at_ms : int
        Wall time in ms at which the engine made the report.
    """

    engine: str
    running: int
    waiting: int
    at_ms: int


@frozen
class LeaseRequest:
    """An entry node's request for a lease, sent to the owner of a shard of engines.

    Attributes
    ----------
    request_id : bytes
        Unique id of the request, 8 bytes.
    entry : str
        Name of the entry node.
    customer : str
        Customer that sent the request.
    model : str
        Model, with its adapter if any.
    prefixes : tuple of int
        Hashes of the chat's prefixes, 64 bits each, shortest prefix first; all if
        `blocks` is 0, otherwise those that were kept by
        `peridotcove.prefix_hashes.sample_prefixes`.
    hint : str
        Engine that served the chat's previous turn, or empty.
    zone : str
        Zone of the entry node.
    deadline_ms : int
        Maximum wait in ms from the arrival at the owner.
    priority : int
        Priority class in the queue; 0 is served first.
    chat_key : int
        Key of the chat, the same for each turn; 0 if unknown.
    blocks : int
        Number of complete blocks of the chat; 0 if `prefixes` lists all.
    avoid : tuple of str
        Engines on which this request failed; they are used only if no other can be.
    excluded : tuple of str
        Engines that must not be used, since they want no requests of the entry node.
    part_ends : tuple of int
        Length of each prefix in tokens if the prompt is given in parts; otherwise
        empty.
    trace_id : bytes
        Id that the caller gave the request, for the log; empty if it equals
        `request_id`.
    stream : int
        Hash of the id of the stream that the request begins or takes up; 0 if it can't
        be taken up again.
    is_resumed : bool
        Whether the request takes the stream up.
    may_be_elsewhere : bool
        Whether the stream may have begun at another model, if it is not known where.
    software_versions : tuple of str
        Software versions of the engines that may be used; any if empty. If a stream is
        taken up without them, its owner uses the one that began it.
    regions : tuple of str
        Regions whose engines may be used, sorted; all if empty.
    goal_ms : int
        Time in ms left until the objective for the first event has passed; 0 if it has
        or if there is none.
    """

    request_id: bytes
    entry: str
    customer: str
    model: str
    prefixes: tuple
    hint: str = ""
    zone: str = ""
    deadline_ms: int = 10_000
    priority: int = 1
    chat_key: int = 0
    blocks: int = 0
    avoid: tuple = ()
    part_ends: tuple = ()
    trace_id: bytes = b""
    excluded: tuple = ()
    stream: int = 0
    is_resumed: bool = False
    software_versions: tuple = ()
    may_be_elsewhere: bool = False
    regions: tuple = ()
    goal_ms: int = 0


@frozen
class LeaseGrant:
    """A granted lease on one slot of an engine.

    Attributes
    ----------
    request_id : bytes
        Id of the request.
    engine : str
        Engine that runs the request.
    cached_blocks : int
        Number of prefix blocks that the owner expects in the engine's cache.
    source : str
        Engine from which the missing prefix should be fetched, or empty.
    load, waiting : int
        Number of requests on the engine and in the owner's queue at the grant.
    blocks : int
        Number of blocks of the whole prompt.
    backlog_ms, expected_ms : float
        Time in ms until the engine has read the prompts before this one, and until the
        first event is expected; -1 if they weren't estimated.
    """

    request_id: bytes
    engine: str
    cached_blocks: int = 0
    source: str = ""
    load: int = 0
    waiting: int = 0
    blocks: int = 0
    backlog_ms: float = -1
    expected_ms: float = -1


@frozen
class LeaseRefusal:
    """The owner's refusal of a lease; the request was not executed.

    Attributes
    ----------
    request_id : bytes
        Id of the request.
    code : str
        Reason, such as ``"overloaded"`` or ``"deadline"``.
    retry_after_ms : int
        Time in ms after which a retry may succeed.
    """

    request_id: bytes
    code: str
    retry_after_ms: int = 1000
