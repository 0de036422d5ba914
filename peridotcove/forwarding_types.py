"""A request that is passed on unchanged, and how it and its answer are written."""

from attrs import define, frozen


@frozen
class ResponseHead:
    """What the head of an engine's answer says.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple
        Names and values to pass on to the caller.
    not_run : bool
        Whether the engine states that it did not run the request.
    fault : str
        Why the answer can't be this request's, or empty.
    """

    status: int
    headers: tuple = ()
    not_run: bool = False
    fault: str = ""

    @property
    def success(self):
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


class Dialect:
    """How requests to engines and their answers are written."""

    def write_headers(self, forward, attempt):
        """Return the header fields of one try, as pairs of name and value.

        Parameters
        ----------
        forward : Forward
            The request.
        attempt : Attempt
            The engine and what the try is to tell it.
        """
        raise NotImplementedError

    def read_head(self, forward, status, headers):
        """Return the `ResponseHead` of an answer.

        Parameters
        ----------
        forward : Forward
            The request.
        status : int
            HTTP status.
        headers : tornado.httputil.HTTPHeaders
            Header fields as the engine sent them.
        """
        raise NotImplementedError


@define(eq=False)
class ForwardedRequest:
    """A request that is to be passed on.

    Attributes
    ----------
    request_id_text : str
        Id that the caller gave it.
    request_id : bytes
        The same, for the time line and the log.
    route : HostRoute
        Its route.
    customer : Customer or None
        Who pays; None on a public route.
    method, target : str
        HTTP method, and path with query, as they came.
    headers : tuple of tuple
        Names and values to pass on.
    body : bytes
        Whole body.
    end_ms : int
        Monotonic time in ms at which the caller stops waiting.
    prefixes : tuple of int
        Hash of each prefix of whole parts of its prompt, shortest first.
    part_ends : tuple of int
        Tokens of each of these prefixes.
    prompt_key : int
        Key that requests which share a prompt have in common; 0 if not known.
    head : AnswerHead or None
        Head of the answer, once there is one.
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


@frozen
class Attempt:
    """One try.

    Attributes
    ----------
    engine : Engine
        The engine.
    source : Engine or None
        Engine from which it may fetch cached prefixes.
    left_ms : int
        Time in ms that is left.
    resume_after : str
        Id of the event after which it is to go on, or empty.
    priority : int
        Class in the engine's queue; 0 goes first.
    """

    engine: object
    source: object
    left_ms: int
    resume_after: str
    priority: int


@frozen
class ForwardedResponse:
    """The outcome of a request that was passed on.

    Attributes
    ----------
    head : AnswerHead
        Head of the answer.
    body : bytes
        Its body; empty when a sink has taken it.
    """

    head: ResponseHead
    body: bytes = b""
