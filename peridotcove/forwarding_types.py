"""Types for requests that are forwarded unchanged, and the base class of dialects."""

from attrs import define, frozen

from peridotcove.engine_notices import NO_NOTICE, Notice


@frozen
class ResponseHead:
    """Status and headers of an engine's response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple
        Names and values of the header fields to forward to the caller.
    not_run : bool
        Whether the engine states that it did not run the request.
    fault : str
        Why the response can't belong to this request; empty if it can.
    notice : Notice
        What the engine says of itself.
    slowness : int
        How long work takes on the engine's machine now, in percent of the usual time; 0
        if the engine doesn't say.
    """

    status: int
    headers: tuple = ()
    not_run: bool = False
    fault: str = ""
    notice: Notice = NO_NOTICE
    slowness: int = 0

    @property
    def success(self):
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


class Dialect:
    """Base class for the header conventions between the router and a kind of engine."""

    def write_headers(self, forward, attempt):
        """Return the request headers of one attempt, as pairs of name and value.

        Parameters
        ----------
        forward : ForwardedRequest
            The request.
        attempt : Attempt
            The attempt with its engine.
        """
        raise NotImplementedError

    def make_life_check(self, engine, model):
        """Return path and request headers of a question to an engine about itself.

        Parameters
        ----------
        engine : Engine
            The engine.
        model : Model
            Its model.
        """
        raise NotImplementedError

    def confirms_life(self, engine, response):
        """Return whether an answer to that question is one of the same incarnation.

        Parameters
        ----------
        engine : Engine
            The engine that was meant.
        response : EndpointResponse
            Its answer, or that of another engine at its address.
        """
        raise NotImplementedError

    def read_notice(self, status, headers):
        """Return the `Notice` of an answer, what the engine says of itself.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : tornado.httputil.HTTPHeaders
            Header fields that the engine sent.
        """
        raise NotImplementedError

    def read_head(self, forward, status, headers):
        """Return the `ResponseHead` of an engine's response.

        Parameters
        ----------
        forward : ForwardedRequest
            The request.
        status : int
            HTTP status of the response.
        headers : tornado.httputil.HTTPHeaders
            Header fields as the engine sent them.
        """
        raise NotImplementedError


@define(eq=False)
class ForwardedRequest:
    """A request that is forwarded to an engine unchanged.

    Attributes
    ----------
    request_id_text : str
        Request id as the caller sent it.
    request_id : bytes
        Request id as bytes, for the timeline and the log.
    route : HostRoute
        Route of the request.
    customer : Customer or None
        Customer that owns the API key; None on a public route.
    method, target : str
        HTTP method, and path with query, as received.
    headers : tuple of tuple
        Names and values of the header fields to forward.
    body : bytes
        Complete body.
    end_ms : int
        Monotonic time in ms at which the caller stops waiting.
    prefixes : tuple of int
        Hashes of the prompt's prefixes that end at a part boundary, shortest first.
    part_ends : tuple of int
        Length in tokens of each of these prefixes.
    prompt_key : int
        Key shared by requests whose prompts differ only in the last part; 0 if unknown.
    head : ResponseHead or None
        Status and headers of the response, once received.
    resume_after : str
        Id of the last event that the caller has of a stream that it takes up again;
        empty for a new request.
    resumes_text : str
        Id of the request that brought the first event of that stream; empty if the
        caller doesn't name it.
    is_sent : bool
        Whether an engine may have got the request.
    """

    request_id_text: str
    request_id: bytes
    route: object
    customer: object
    method: str
    target: str
    headers: tuple
    body: bytes
    end_ms: int
    prefixes: tuple = ()
    part_ends: tuple = ()
    prompt_key: int = 0
    head: ResponseHead | None = None
    resume_after: str = ""
    resumes_text: str = ""
    is_sent: bool = False


@frozen
class Attempt:
    """One attempt to run a request on an engine.

    Attributes
    ----------
    engine : Engine
        Engine that receives the request.
    source : Engine or None
        Engine from which `engine` may fetch cached prefixes.
    left_ms : int
        Time in ms left until the request's deadline.
    resume_after : str
        Id of the last event of the stream that was received; empty to start at the
        beginning.
    priority : int
        Priority class in the engine's queue; 0 is served first.
    """

    engine: object
    source: object
    left_ms: int
    resume_after: str
    priority: int


@frozen
class ForwardedResponse:
    """Response to a forwarded request.

    Attributes
    ----------
    head : ResponseHead
        Status and headers.
    body : bytes
        Body; empty if it was streamed to a sink.
    """

    head: ResponseHead
    body: bytes = b""
