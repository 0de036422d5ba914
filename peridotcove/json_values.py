"""Decodes JSON that comes from outside of the process."""

import json

# Far below the interpreter's recursion limit, so that no later step of the handling of
# a value fails on its depth; several times the depth of any known document.
MAX_DEPTH = 64


def decode_json(data, errors="surrogatepass"):
    """Return the value of a JSON text.

    Its strings may have lone surrogates, which JSON can escape and UTF-8 can't encode.

    Parameters
    ----------
    data : bytes
        The text in UTF-8.
    errors : str
        What the decoder of UTF-8 does with errors; ``"strict"`` takes surrogates only
        if they are escaped.

    Raises
    ------
    ValueError
        If it is not JSON, or nested deeper than `MAX_DEPTH`.
    """
    try:
        value = _DECODER.decode(data.decode("utf-8", errors))
    except RecursionError:
        raise ValueError("the JSON value is nested too deeply") from None
    openings = data.count(b"[") + data.count(b"{")
    if openings > MAX_DEPTH and _is_too_deep(value):
        raise ValueError(f"the JSON value is nested deeper than {MAX_DEPTH} levels")
    return value


def _is_too_deep(value):
    containers = [value]
    for _ in range(MAX_DEPTH):
        containers = [
            child
            for container in containers
            for child in _list_children(container)
            if isinstance(child, (dict, list))
        ]
        if not containers:
            return False
    return True


def _list_children(container):
    if isinstance(container, dict):
        return container.values()
    return container if isinstance(container, list) else ()


def _refuse_constant(name):
    raise ValueError(f"{name} is not JSON")


_DECODER = json.JSONDecoder(parse_constant=_refuse_constant)
