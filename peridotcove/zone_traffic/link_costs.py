"""Costs of a request that is sent to an engine of another zone."""

from attrs import frozen

from peridotcove.cache_index import CHARS_PER_TOKEN

# Bytes of a request besides its prompt, and of its answer. An owner sees neither.
OTHER_BYTES = 4_000
BYTES_PER_KILOBYTE = 1_000


@frozen
class LinkCosts:
    """Costs of a request between two zones, in ms of an engine's time.

    Attributes
    ----------
    crossing_ms : float
        Time for which the caller waits longer: connection, request and answer.
    kilobyte_ms : float
        Price of 1,000 bytes.
    """

    crossing_ms: float
    kilobyte_ms: float

    def estimate_ms(self, prompt_tokens):
        """Return the cost in ms of one request.

        Parameters
        ----------
        prompt_tokens : float
            Length of its prompt.
        """
        size = OTHER_BYTES + prompt_tokens * CHARS_PER_TOKEN
        return self.crossing_ms + self.kilobyte_ms * size / BYTES_PER_KILOBYTE
