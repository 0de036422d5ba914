"""Deterministic completions: the text depends on the model and the prompt only."""

import xxhash

from peridotcove.prefix_hashes import serialize_messages

CHARS_PER_TOKEN = 4


def count_tokens(text):
    """Return the number of tokens of a text.

    Parameters
    ----------
    text : str
        Text of any length.
    """
    return -(-len(text) // CHARS_PER_TOKEN)


class Completion:
    """Text that the engine generates for one prompt, token by token.

    Parameters
    ----------
    model : str
        Model and adapter, ``model:adapter``.
    messages : list of dict
        Messages of the chat.

    Attributes
    ----------
    prompt : str
        The chat's messages as one text.
    """

    def __init__(self, model, messages):
        self.prompt = serialize_messages(messages)
        digest = xxhash.xxh3_64_digest(f"{model}\x1f{self.prompt}".encode())
        self._digest = digest

    def token(self, index):
        """Return one token.

        Parameters
        ----------
        index : int
            Index of the token in the completion.
        """
        return xxhash.xxh3_64_hexdigest(self._digest, seed=index)[:3] + " "

    def text(self, tokens):
        """Return the complete text.

        Parameters
        ----------
        tokens : int
            Length in tokens.
        """
        return "".join(self.token(index) for index in range(tokens))
