"""Reads chat requests of callers into typed values."""

import hashlib
import hmac
import json

from attrs import frozen

from peridotcove.exceptions import RequestRefused
from peridotcove.prefix_hashes import (
    compute_chat_key,
    hash_prefixes,
    serialize_messages,
)

BEARER = "bearer "
MAX_MODEL_CHARS = 256


@frozen
class ChatRequest:
    """One chat request.

    Attributes
    ----------
    customer : Customer
        Who pays.
    model : str
        Model, with its adapter if any.
    base_model : str
        Model without adapter.
    stream : bool
        Whether the caller wants the answer as it arises.
    repeatable : bool
        Whether the request may run more than once.
    prefixes : tuple of int
        Hashes of the chat's prefixes.
    chat_key : int
        Key of the chat that stays the same on each turn, 64 bits.
    continuation : str
        Token of the chat's last turn, or empty.
    body : bytes
        The request as the engine gets it.
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


def find_customer(fleet, headers):
    """Return the customer of a request.

    Parameters
    ----------
    fleet : Fleet
        The node's view.
    headers : HTTPHeaders
        Header fields; the key is in ``Authorization: Bearer`` or ``X-Api-Key``.

    Raises
    ------
    RequestRefused
        If there is no key or no customer has it.
    """
    key = headers.get("X-Api-Key", "")
    authorization = headers.get("Authorization", "")
    if authorization.lower().startswith(BEARER):
        key = authorization[len(BEARER) :]
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    customer = fleet.find_customer(digest) if key else None
    if customer is None or not _has_digest(customer, digest):
        raise RequestRefused("unknown-customer", "the API key is not known", 401)
    return customer


def _has_digest(customer, digest):
    # In constant time, whatever the look-up by digest took.
    matches = [hmac.compare_digest(digest, item) for item in customer.key_digests]
    return any(matches)


def read_object(body):
    """Return the JSON object in a body.

    Parameters
    ----------
    body : bytes
        The body.

    Raises
    ------
    RequestRefused
        If it is no JSON object.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        raise RequestRefused("bad-json", "the body is no JSON", 400) from None
    if not isinstance(value, dict):
        raise RequestRefused("bad-json", "the body is no JSON object", 400)
    return value


def read_chat(fleet, headers, body):
    """Return the chat in a request.

    Parameters
    ----------
    fleet : Fleet
        The node's view.
    headers : HTTPHeaders
        Header fields.
    body : bytes
        The body.

    Raises
    ------
    RequestRefused
        If the request is malformed, or names an unknown customer or model.
    """
    customer = find_customer(fleet, headers)
    value = read_object(body)
    model = value.get("model")
    if not isinstance(model, str) or not 0 < len(model) <= MAX_MODEL_CHARS:
        raise RequestRefused("bad-model", "'model' must be a name", 400)
    base = check_model(fleet, model)
    messages = value.get("messages")
    if not _are_messages(messages):
        raise RequestRefused("bad-messages", "'messages' must be a list", 400)
    stream = value.get("stream", False)
    if not isinstance(stream, bool):
        raise RequestRefused("bad-stream", "'stream' must be true or false", 400)
    block_chars = fleet.configuration.bounds.block_chars
    prefixes = hash_prefixes(model, serialize_messages(messages), block_chars)
    repeatable = headers.get("Peridotcove-Repeatable", "yes").lower() != "no"
    token = headers.get("Peridotcove-Continuation", "")
    key = compute_chat_key(model, messages)
    return ChatRequest(
        customer, model, base, stream, repeatable, prefixes, key, token, body
    )


def check_model(fleet, model):
    """Return the name of a model without its adapter.

    Parameters
    ----------
    fleet : Fleet
        The node's view.
    model : str
        Model, with its adapter after a colon if any.

    Raises
    ------
    RequestRefused
        If the model or the adapter is not described.
    """
    model_by_name = fleet.configuration.model_by_name
    if model in model_by_name:
        return model
    base, _, adapter = model.rpartition(":")
    if base in model_by_name and adapter in model_by_name[base].adapters:
        return base
    raise RequestRefused("unknown-model", f"the model {model!r} is not known", 404)


def _are_messages(messages):
    if not isinstance(messages, list) or not messages:
        return False
    return all(isinstance(item, dict) for item in messages)
