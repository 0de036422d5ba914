"""A seeded workload of chats with pauses between their turns.

A chat's turns depend only on the seed and the chat, so that each policy receives the
same chats.
"""

import random

from attrs import define, field, frozen

from peridotcove.models import Customer

UINT64_MASK = (1 << 64) - 1
MIX_MULTIPLIER = 0x9E3779B97F4A7C15
MIX_INCREMENT = 0xBF58476D1CE4E5B9
MEAN_TURNS = 8
MEAN_ANSWER_BLOCKS = 4
QUESTION_BLOCKS = (1, 3)
SHORT_PAUSE_SHARE = 0.9
LONG_PAUSE_FACTOR = 5
LONG_PAUSE_TIME_SHARE = 0.5 / 1.4


@frozen
class WorkloadParameters:
    """Parameters of a workload.

    Attributes
    ----------
    chats_per_second : float
        New chats per second.
    live_chats : int
        Chats in progress at the start of the run.
    mean_pause_ms : float
        Mean of short pauses in ms; that of long ones is `LONG_PAUSE_FACTOR` times it.
    share_by_customer : dict
        Share of new chats by customer; they sum to 1.
    prefix_blocks_by_customer : dict
        Blocks of the prefix that a customer's chats share.
    models : tuple of str
        Models that are assigned to chats in turn.
    surging : str
        Customer with a temporary surge of requests, or empty.
    surge_factor : float
        Rate during the surge as a multiple of the usual rate.
    surge_ms : tuple of int
        Start and end of the surge in ms.
    """

    chats_per_second: float
    live_chats: int
    mean_pause_ms: float
    share_by_customer: dict
    prefix_blocks_by_customer: dict
    models: tuple
    surging: str = ""
    surge_factor: float = 1.0
    surge_ms: tuple = (0, 0)


@define
class Chat:
    """One simulated chat.

    Attributes
    ----------
    number : int
        Number of the chat.
    customer, model : str
        Names of the customer and the model.
    key : int
        Key that stays the same on each turn.
    prefixes : list of int
        Hashes of the chat's prefixes so far.
    turns_left : int
        Turns that are still to come.
    answer_blocks : int
        Length of the next answer, in blocks.
    engine : str
        Engine of the last turn, or empty.
    started_earlier : bool
        Whether the chat began before the run.
    rng : random.Random
        Random generator of the chat.
    """

    number: int
    customer: str
    model: str
    key: int
    prefixes: list
    turns_left: int
    rng: random.Random
    answer_blocks: int = 0
    engine: str = ""
    started_earlier: bool = False
    _state: int = field(default=0)

    def add_blocks(self, blocks):
        """Append blocks that are unique to this chat.

        Parameters
        ----------
        blocks : int
            Number of blocks.
        """
        for _ in range(blocks):
            self._state = _mix(self._state + self.key)
            self.prefixes.append(self._state)

    def add_question(self):
        """Append a question and draw the length of its answer."""
        self.add_blocks(self.rng.randint(*QUESTION_BLOCKS))
        length = round(self.rng.expovariate(1 / MEAN_ANSWER_BLOCKS))
        self.answer_blocks = max(1, min(16, length))

    def draw_pause_ms(self, mean_ms):
        """Draw the pause before the next turn in ms.

        Parameters
        ----------
        mean_ms : float
            Mean of short pauses.
        """
        if self.rng.random() > SHORT_PAUSE_SHARE:
            mean_ms *= LONG_PAUSE_FACTOR
        return int(self.rng.expovariate(1 / mean_ms))


class Workload:
    """Generates chats and their arrival times.

    Parameters
    ----------
    parameters : WorkloadParameters
        Parameters of the workload.
    seed : int
        Seed of all random draws.
    """

    def __init__(self, parameters, seed):
        self.parameters = parameters
        self._seed = seed
        self._names = sorted(parameters.share_by_customer)
        self._shares = [parameters.share_by_customer[name] for name in self._names]
        self._count = 0

    def generate_arrivals(self, end_ms):
        """Yield the arrival time in ms and the customer of each new chat.

        Parameters
        ----------
        end_ms : int
            Time at which arrivals stop.
        """
        rng = random.Random(f"arrivals {self._seed}")
        now = 0.0
        while True:
            now += rng.expovariate(self.parameters.chats_per_second / 1000)
            if now >= end_ms:
                return
            yield int(now), rng.choices(self._names, self._shares)[0]

    def make_earlier_chat(self, number, customer):
        """Return a chat that began before the run and continues in it.

        Parameters
        ----------
        number : int
            Number of the chat.
        customer : str
            Name of the customer.
        """
        chat = self.make_chat(number, customer)
        chat.started_earlier = True
        for _ in range(int(chat.rng.expovariate(1 / MEAN_TURNS))):
            chat.add_question()
            chat.add_blocks(chat.answer_blocks)
        return chat

    def make_single_turn_chat(self, number, customer):
        """Return a chat with a single turn.

        Parameters
        ----------
        number : int
            Number of the chat.
        customer : str
            Name of the customer.
        """
        chat = self.make_chat(number, customer)
        chat.turns_left = 1
        return chat

    def generate_earlier_chats(self):
        """Yield the first time in ms and the customer of each earlier chat."""
        rng = random.Random(f"earlier {self._seed}")
        for _ in range(self.parameters.live_chats):
            mean_ms = self.parameters.mean_pause_ms
            if rng.random() < LONG_PAUSE_TIME_SHARE:
                mean_ms *= LONG_PAUSE_FACTOR
            at_ms = int(rng.expovariate(1 / mean_ms))
            yield at_ms, rng.choices(self._names, self._shares)[0]

    def generate_surge(self):
        """Yield time in ms and customer of each extra single-turn chat of the surge."""
        parameters = self.parameters
        start, end = parameters.surge_ms
        if not parameters.surging:
            return
        share = parameters.share_by_customer[parameters.surging]
        extra_factor = parameters.surge_factor - 1
        rate = parameters.chats_per_second * share * MEAN_TURNS * extra_factor / 1000
        rng = random.Random(f"surge {self._seed}")
        now = start + rng.expovariate(rate)
        while now < end:
            yield int(now), parameters.surging
            now += rng.expovariate(rate)

    def make_chat(self, number, customer):
        """Return a new chat.

        Parameters
        ----------
        number : int
            Number of the chat, part of its random seed.
        customer : str
            Name of the customer.
        """
        rng = random.Random(f"chat {self._seed} {number}")
        turns = 1 + int(rng.expovariate(1 / (MEAN_TURNS - 0.5)))
        model = self.parameters.models[number % len(self.parameters.models)]
        key = rng.getrandbits(64) | 1
        length = self.parameters.prefix_blocks_by_customer[customer]
        shared = _shared_prefix(f"{customer} {model}", length)
        chat = Chat(number, customer, model, key, shared, turns, rng)
        chat._state = shared[-1] if shared else 0
        return chat


def make_customers(names, concurrency):
    """Return customers of equal weight and concurrency by name.

    Parameters
    ----------
    names : iterable of str
        Names of the customers.
    concurrency : int
        Limit of requests in progress of each.
    """
    return {name: Customer(name, concurrency=concurrency) for name in names}


def _shared_prefix(text, length):
    state = random.Random(text).getrandbits(64)
    prefixes = []
    for _ in range(length):
        state = _mix(state)
        prefixes.append(state)
    return prefixes


def _mix(value):
    value = (value * MIX_MULTIPLIER + MIX_INCREMENT) & UINT64_MASK
    value ^= value >> 29
    value = (value * MIX_INCREMENT) & UINT64_MASK
    return (value ^ (value >> 32)) or 1
