"""The nouns of the domain: customers, zones, engines, services, requests."""

import enum

from attrs import field, frozen

from peridotcove.schema import key, number_field

ZONES = key("zones")
MODELS = key("models")
ENGINES = key("engines")
SERVICES = key("services")
CUSTOMERS = key("customers")
HOST_ROUTES = key("host_routes")


class LifecycleStatus(enum.Enum):
    """Stage of an endpoint's life, as the operator describes it."""

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
    """A firm or branch that calls.

    Attributes
    ----------
    name : str
        Unique name.
    key_digests : tuple of str
        Hex SHA-256 digests of the API keys.
    requests_per_second : float
        Rate over all nodes.
    concurrency : int
        Requests in progress at once over all nodes.
    weight : float
        Share in fair queuing against other customers.
    priority : int
        Class in the queue; 0 goes first.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    requests_per_second: float = number_field(0.001, 1e6, default=100.0)
    concurrency: int = number_field(1, 1_000_000, default=64)
    weight: float = number_field(0.001, 1000, default=1.0)
    priority: int = number_field(0, 9, default=1)


@frozen
class Zone:
    """An availability zone.

    Attributes
    ----------
    name : str
        Unique name.
    region : str
        Region that the zone belongs to.
    """

    name: str
    region: str


@frozen
class Model:
    """A model that engines serve.

    Attributes
    ----------
    name : str
        Name that callers use.
    version : str
        Version of the weights that engines are to run.
    adapters : tuple of str
        Adapters that callers may name after the model, as ``model:adapter``.
    weight_bytes : int
        Size of the weights in bytes.
    """

    name: str
    version: str = "1"
    adapters: tuple[str, ...] = ()
    weight_bytes: int = number_field(0, 1 << 50, default=0)


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
        Name of the model that it is to serve.
    capacity : int
        Requests that it can run at once.
    weight : float
        Capacity relative to other engines; the load bound is in its measure.
    cache_tokens : int
        Size of the prefix cache in tokens.
    role : str
        Role that it is to have, such as ``"mixed"``.
    status : Status
        Stage of life.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    shares_cache : bool
        Whether it can fetch cached prefixes from another engine of its model.
    incarnation : int
        Tells starts of one engine apart; 0 if it is not told.
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
    status : Status
        Stage of life.
    """

    name: str
    url: str
    zone: str
    status: LifecycleStatus = LifecycleStatus.IN_SERVICE


@frozen
class Route:
    """A rule that says which calls of a service may be repeated.

    Attributes
    ----------
    prefix : str
        Path prefix below the service, such as ``"/reservations"``.
    methods : tuple of str
        HTTP methods that the rule covers; all when empty.
    repeatable : bool
        Whether a call may run more than once.
    """

    prefix: str = "/"
    methods: tuple[str, ...] = ()
    repeatable: bool = False


@frozen
class Service:
    """A plain service beside the engines.

    Attributes
    ----------
    name : str
        Name in the path, ``/services/NAME/...``.
    endpoints : tuple of Endpoint
        Servers of the service.
    routes : tuple of Route
        Rules; the longest matching prefix holds, and without one a call that is
        not GET or HEAD may not be repeated.
    checks_keys : bool
        Whether the endpoints refuse a second request with the same
        ``Idempotency-Key``.
    """

    name: str
    endpoints: tuple[Endpoint, ...] = ()
    routes: tuple[Route, ...] = ()
    checks_keys: bool = False

    def repeatable(self, method, path):
        """Return whether a call may run more than once.

        Parameters
        ----------
        method : str
            HTTP method in capitals.
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
    """Where a share of a host route's requests goes.

    Attributes
    ----------
    model : str
        Model whose engines are to answer.
    weight : float
        Share relative to the route's other targets.
    """

    model: str
    weight: float = number_field(0, 1e6, default=1.0)


@frozen
class HostRoute:
    """A rule by which requests of any form are passed on unchanged.

    Attributes
    ----------
    name : str
        Unique name.
    host : str
        Host that the caller names.
    prefix : str
        Path prefix, with a slash at both ends; the longest that matches holds.
    targets : tuple of Target
        Models whose engines may answer.
    repeatable : bool
        Whether a request may run more than once.
    streaming : bool
        Whether the answer is a stream of events that is passed on as it comes.
    resumable : bool
        Whether another engine can go on with a stream after its last event.
    sticky : bool
        Whether requests name the parts of their prompt.
    public : bool
        Whether callers need no API key.
    attempts : int
        Most engines to which one request may be sent.
    priority : int
        Class in the queue; 0 goes first.
    timeout_ms : int
        Longest time in ms that a caller is kept waiting.
    goal_ms : int
        Time in ms within which the answer, or a stream's first event, is wanted.
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


@frozen
class Bounds:
    """Limits that hold for the whole fleet.

    Attributes
    ----------
    load_bound : float
        Highest load of an engine as a multiple of the mean; at least 1.
    block_chars : int
        Characters of a prompt per cache block.
    queue_ms : int
        Longest wait for an engine in ms.
    retry_share : float
        Retries allowed as a share of first tries.
    shard_engines : int
        Most engines that one owner decides for.
    ticket_ms : int
        Time in ms for which a ticket is valid.
    weight_store_bytes_per_second : int
        Rate of the weight store.
    keys_required : bool
        Whether requests on host routes need an API key, unless the route is public.
    """

    load_bound: float = number_field(1.0, 100.0, default=1.25)
    block_chars: int = number_field(16, 65_536, default=256)
    queue_ms: int = number_field(0, 600_000, default=10_000)
    retry_share: float = number_field(0.0, 1.0, default=0.1)
    shard_engines: int = number_field(1, 10_000, default=16)
    ticket_ms: int = number_field(1_000, 86_400_000, default=3_600_000)
    weight_store_bytes_per_second: int = number_field(1, 1 << 50, default=1_000_000_000)
    keys_required: bool = False


@frozen
class Configuration:
    """One accepted revision of what the operators describe.

    Attributes
    ----------
    revision : int
        Grows with every change; 0 is the empty configuration.
    bounds : Bounds
        Limits for the whole fleet.
    zone_by_name, model_by_name, engine_by_name : dict
        Zones, models and engines by name.
    service_by_name, customer_by_name, host_route_by_name : dict
        Services, customers and host routes by name.
    """

    revision: int = number_field(0, 1 << 62, default=0)
    bounds: Bounds = Bounds()
    zone_by_name: dict[str, Zone] = field(factory=dict, metadata=ZONES)
    model_by_name: dict[str, Model] = field(factory=dict, metadata=MODELS)
    engine_by_name: dict[str, Engine] = field(factory=dict, metadata=ENGINES)
    service_by_name: dict[str, Service] = field(factory=dict, metadata=SERVICES)
    customer_by_name: dict[str, Customer] = field(factory=dict, metadata=CUSTOMERS)
    host_route_by_name: dict[str, HostRoute] = field(factory=dict, metadata=HOST_ROUTES)


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
        IP number.
    port : int
        Port; for a node the port of its links.
    zone : str
        Availability zone.
    state : State
        Live or leaving.
    power : float
        What a node can do beside its callers' requests, relative to others.
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
    """An engine's own report of its load, which lags.

    Attributes
    ----------
    engine : str
        Name of the engine.
    running, waiting : int
        Requests in progress and in its queue.
    at_ms : int
        Wall time in ms at which the engine took the report.
    """

    engine: str
    running: int
    waiting: int
    at_ms: int


@frozen
class LeaseRequest:
    """What an entry node asks of the owner of a shard of engines.

    Attributes
    ----------
    request_id : bytes
        Unique id of the request, 8 bytes.
    entry : str
        Name of the entry node.
    customer : str
        Customer that pays.
    model : str
        Model, with its adapter if any.
    prefixes : tuple of int
        Hashes of the chat's prefixes, 64 bits each, shortest prefix first; all when
        `blocks` is 0, else those that `peridotcove.prefix_hashes.sample_prefixes` kept.
    hint : str
        Engine of the chat's last turn, or empty.
    zone : str
        Zone of the entry node.
    deadline_ms : int
        Longest wait in ms from arrival at the owner.
    priority : int
        Class in the queue; 0 goes first.
    chat_key : int
        Key of the chat that stays the same on each turn; 0 if not known.
    blocks : int
        Whole blocks of the chat; 0 if `prefixes` holds all.
    avoid : tuple of str
        Engines that failed this request before; they get it only if no other can.
    part_ends : tuple of int
        Tokens of each prefix, where the prompt is given in parts; else empty.
    trace_id : bytes
        Id that the caller gave the request, for the log; empty if it is the same.
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


@frozen
class LeaseGrant:
    """A lease on one place at an engine.

    Attributes
    ----------
    request_id : bytes
        Id of the request.
    engine : str
        Engine that is to run it.
    cached_blocks : int
        Prefix blocks that the owner expects in the engine's cache.
    source : str
        Engine from which the missing prefix is to be fetched, or empty.
    load, waiting : int
        Requests on the engine and in the owner's queue when it was granted.
    blocks : int
        Blocks of the whole prompt.
    """

    request_id: bytes
    engine: str
    cached_blocks: int = 0
    source: str = ""
    load: int = 0
    waiting: int = 0
    blocks: int = 0


@frozen
class LeaseRefusal:
    """The owner's refusal of a lease: the request did not run.

    Attributes
    ----------
    request_id : bytes
        Id of the request.
    code : str
        Reason, such as ``"overloaded"`` or ``"deadline"``.
    retry_after_ms : int
        Time in ms after which another try is worthwhile.
    """

    request_id: bytes
    code: str
    retry_after_ms: int = 1000
