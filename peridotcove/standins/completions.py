"""What the engine stand-in answers: text that only its own prompt can give."""

import xxhash

from peridotcove.prefix_hashes import serialize_messages

CHARS_PER_TOKEN = 4


def count_tokens(text):
    """Return the number of tokens of a text.

    Parameters
    ----------
    text : str
        Any text.
    """
    return -(-len(text) // CHARS_PER_TOKEN)


class Completion:
    """The answer to one prompt, token by token.

    Parameters
    ----------
    model : str
        Model and adapter.
    messages : list of dict
        The chat.

    Attributes
    ----------
    prompt : str
        The chat's flattened text.
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
            Place in the answer.
        """
        return xxhash.xxh3_64_hexdigest(self._digest, seed=index)[:3] + " "

    def text(self, tokens):
        """Return the whole answer.

        Parameters
        ----------
        tokens : int
            Length of the answer.
        """
        return "".join(self.token(index) for index in range(tokens))
