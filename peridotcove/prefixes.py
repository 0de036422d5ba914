"""Cuts a chat into blocks and hashes them into a chain of prefixes."""

import xxhash

FIELD_END = "\x1f"
MESSAGE_END = "\x1e"


def flatten(messages):
    """Return the text of a chat, in the form whose prefixes are hashed.

    Parameters
    ----------
    messages : list of dict
        Messages with ``role`` and ``content``, as callers send them.
    """
    parts = []
    for item in messages:
        parts.append(str(item.get("role", "")))
        parts.append(FIELD_END)
        parts.append(_flatten_content(item.get("content")))
        parts.append(MESSAGE_END)
    return "".join(parts)


def _flatten_content(content):
    if isinstance(content, list):
        texts = (part.get("text", "") for part in content if isinstance(part, dict))
        return "".join(str(text) for text in texts)
    return "" if content is None else str(content)


def hash_prefixes(model, text, block_chars):
    """Return the hash of each prefix of whole blocks, shortest prefix first.

    Parameters
    ----------
    model : str
        Model and adapter; prefixes of two models are never equal.
    text : str
        The chat's text from `flatten`.
    block_chars : int
        Characters per block.

    Returns
    -------
    tuple of int
        64-bit hashes; hash ``i`` covers blocks ``0..i``.
    """
    state = xxhash.xxh3_64_digest(model.encode())
    hashes = []
    for end in range(block_chars, len(text) + 1, block_chars):
        block = text[end - block_chars : end].encode("utf-8", "surrogatepass")
        state = xxhash.xxh3_64_digest(state + block)
        hashes.append(int.from_bytes(state, "big"))
    return tuple(hashes)
