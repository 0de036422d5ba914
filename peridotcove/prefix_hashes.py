"""Hashes of the prefixes of chats and of the parts of prompts."""

import functools

import xxhash

FIELD_END = "\x1f"
MESSAGE_END = "\x1e"
SHARED_DEPTHS = (1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256, 384, 512)
RECENT_STEP_BLOCKS = 4
RECENT_BLOCKS = 48


def serialize_messages(messages):
    """Return the text of a chat in the form that is hashed.

    Parameters
    ----------
    messages : list of dict
        Messages with ``role`` and ``content``, as received from callers.
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


def compute_chat_key(model, messages):
    """Return a key of a chat that is the same on each of its turns.

    The key is the hash of the messages up to and including the first user message.

    Parameters
    ----------
    model : str
        Model and adapter.
    messages : list of dict
        Messages with ``role`` and ``content``.
    """
    opening = []
    for item in messages:
        opening.append(item)
        if item.get("role") == "user":
            break
    text = f"{model}{FIELD_END}{serialize_messages(opening)}"
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))


def hash_prefixes(model, text, block_chars):
    """Return the hash of each prefix of whole blocks, shortest prefix first.

    Parameters
    ----------
    model : str
        Model and adapter; they are hashed too, so prefixes of two models differ.
    text : str
        Text of the chat, from `serialize_messages`.
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


def hash_prompt_part(model, part_id):
    """Return the 64-bit hash of a prompt part.

    Parameters
    ----------
    model : str
        Model and adapter; they are hashed too, so parts of two models differ.
    part_id : str
        Id of the part.
    """
    return xxhash.xxh3_64_intdigest(f"{model}\x00{part_id}".encode())


def hash_prompt_parts(model, parts):
    """Return the hash and the end of each part of a prompt.

    A part is given by its id and size; the node does not see its text.

    Parameters
    ----------
    model : str
        Model and adapter.
    parts : sequence of tuple
        Id of each part and its size in tokens.

    Returns
    -------
    keys : tuple of int
        64-bit hashes.
    ends : tuple of int
        Tokens from the start of the prompt to the end of each part.
    """
    keys, ends = [], []
    for part_id, tokens in parts:
        keys.append(hash_prompt_part(model, part_id))
        ends.append(tokens + (ends[-1] if ends else 0))
    return tuple(keys), tuple(ends)


def hash_shared_parts(model, parts):
    """Return a key common to all prompts that differ only in the last part.

    Parameters
    ----------
    model : str
        Model and adapter.
    parts : sequence of tuple
        Id of each part and its size in tokens; at least one.
    """
    shared = parts[:-1] or parts
    return hash_prompt_part(model, " ".join(part_id for part_id, _ in shared))


@functools.lru_cache(maxsize=4096)
def select_depths(blocks):
    """Return the depths in blocks at which prefixes are compared, ascending.

    These are the depths of `SHARED_DEPTHS`, which find prefixes shared by chats, and
    every `RECENT_STEP_BLOCKS` within the last `RECENT_BLOCKS`, which find the previous
    turn of the same chat.

    Parameters
    ----------
    blocks : int
        Whole blocks of the chat.
    """
    depths = {depth for depth in SHARED_DEPTHS if depth <= blocks}
    end = blocks - blocks % RECENT_STEP_BLOCKS
    depths.update(range(end, max(0, blocks - RECENT_BLOCKS), -RECENT_STEP_BLOCKS))
    return tuple(sorted(depths))


def sample_prefixes(prefixes):
    """Return the hashes at the depths of `select_depths`, to be sent to an owner.

    Parameters
    ----------
    prefixes : tuple of int
        Hash of each prefix of whole blocks, shortest first.
    """
    return tuple(prefixes[depth - 1] for depth in select_depths(len(prefixes)))
