"""Parses and authenticates the chat requests of callers."""

import hashlib
import hmac

from attrs import frozen

from peridotcove.exceptions import RequestRefused
from peridotcove.json_values import decode_json
from peridotcove.prefix_hashes import (
    compute_chat_key,
    hash_prefixes,
    serialize_messages,
)

BEARER_PREFIX = "bearer "
MAX_MODEL_CHARS = 256


@frozen
class ChatRequest:
    """One parsed chat request.

    Attributes
    ----------
    customer : Customer
        Customer that the API key belongs to.
    model : str
        Name of the model, with its adapter after a colon if any.
    base_model : str
        Name of the model without the adapter.
    stream : bool
        Whether the response is streamed.
    repeatable : bool
        Whether the request may run more than once, so that it can be retried.
    prefixes : tuple of int
        Hashes of the prompt's prefixes.
    chat_key : int
        Key of the chat, the same on each of its turns; 64 bits.
    continuation : str
        Continuation token from the chat's previous turn, or empty.
    body : bytes
        Body of the request, sent to the engine unchanged.
    """

    customer: object
    model: str
    base_model: str
    stream: bool
    repeatable: bool
    prefixes: tuple
    chat_key: int
    continuation: str
    body: bytes


def authenticate_customer(fleet, headers):
    """Return the customer that the API key of a request belongs to.

    Parameters
    ----------
    fleet : FleetView
        The node's view of the fleet.
    headers : HTTPHeaders
        Header fields; the API key is in ``Authorization: Bearer`` or ``X-Api-Key``.

    Raises
    ------
    RequestRefused
        With status 401, if there is no API key or no customer has it.
    """
    key = headers.get("X-Api-Key", "")
    authorization = headers.get("Authorization", "")
    if authorization.lower().startswith(BEARER_PREFIX):
        key = authorization[len(BEARER_PREFIX) :]
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    customer = fleet.find_customer(digest) if key else None
    if customer is None or not _has_digest(customer, digest):
        raise RequestRefused(
            "unknown-customer", "the API key is missing or unknown", 401
        )
    return customer


def _has_digest(customer, digest):
    # Compares in constant time; the look-up by digest before it does not.
    matches = [hmac.compare_digest(digest, item) for item in customer.key_digests]
    return any(matches)


def parse_json_object(body):
    """Parse the body of a request as a JSON object.

    Parameters
    ----------
    body : bytes
        The body.

    Raises
    ------
    RequestRefused
        With status 400, if it is not a JSON object.
    """
    try:
        fields = decode_json(body)
    except ValueError:
        raise RequestRefused("bad-json", "the body is not valid JSON", 400) from None
    if not isinstance(fields, dict):
        raise RequestRefused("bad-json", "the body is not a JSON object", 400)
    return fields


def parse_chat_request(fleet, headers, body):
    """Authenticate and parse a chat request.

    Parameters
    ----------
    fleet : FleetView
        The node's view of the fleet.
    headers : HTTPHeaders
        Header fields of the request.
    body : bytes
        Body of the request.

    Raises
    ------
    RequestRefused
        If the request is malformed, or names an unknown customer or model.
    """
    customer = authenticate_customer(fleet, headers)
    fields = parse_json_object(body)
    model = fields.get("model")
    if not isinstance(model, str) or not 0 < len(model) <= MAX_MODEL_CHARS:
        raise RequestRefused("bad-model", "'model' must be the name of a model", 400)
    base_model = resolve_base_model(fleet, model)
    messages = fields.get("messages")
    if not _is_message_list(messages):
        raise RequestRefused(
            "bad-messages", "'messages' must be a non-empty list of objects", 400
        )
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        raise RequestRefused("bad-stream", "'stream' must be true or false", 400)
    block_chars = fleet.configuration.bounds.block_chars
    prefixes = hash_prefixes(model, serialize_messages(messages), block_chars)
    repeatable = headers.get("Peridotcove-Repeatable", "yes").lower() != "no"
    continuation_token = headers.get("Peridotcove-Continuation", "")
    chat_key = compute_chat_key(model, messages)
    return ChatRequest(
        customer,
        model,
        base_model,
        stream,
        repeatable,
        prefixes,
        chat_key,
        continuation_token,
        body,
    )


def resolve_base_model(fleet, model):
    """Return the name of a model without its adapter.

    Parameters
    ----------
    fleet : FleetView
        The node's view of the fleet.
    model : str
        Name of the model, with its adapter after a colon if any.

    Raises
    ------
    RequestRefused
        With status 404, if the configuration has no such model or adapter.
    """
    model_by_name = fleet.configuration.model_by_name
    if model in model_by_name:
        return model
    base, _, adapter = model.rpartition(":")
    if base in model_by_name and adapter in model_by_name[base].adapters:
        return base
    raise RequestRefused("unknown-model", f"unknown model {model!r}", 404)


def _is_message_list(messages):
    if not isinstance(messages, list) or not messages:
        return False
    return all(isinstance(item, dict) for item in messages)
