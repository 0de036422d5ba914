"""The demo's caller: multi-turn chats and bookings against a fleet of routers."""

import asyncio
import collections
import itertools
import json
import random

from attrs import define, field, frozen

from peridotcove.standins.completions import Completion

CONCURRENT_CHATS = 100
CONCURRENT_BOOKERS = 12
TURNS_PER_CHAT = 10
ANSWER_TOKENS = 48
SYSTEM_CHARS = 2_000
TURN_CHARS = 400
CHAT_PAUSE_S = (0.3, 1.5)
BOOKING_PAUSE_S = (0.1, 0.5)
MAX_ATTEMPTS = 10
RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
WORDS = ("stand", "glove", "quote", "cotton", "wedding", "archive", "tier", "batch")


@frozen
class Customer:
    """A customer whose API key the caller uses.

    Attributes
    ----------
    name, key : str
        Name and API key.
    weight : float
        Weight in the random choice of a customer for each task.
    """

    name: str
    key: str
    weight: float


@define
class Tally:
    """Counts of what the caller observed.

    Attributes
    ----------
    chat_turns, correct, wrong, abandoned : int
        Turns sent, complete answers to their own prompts, answers that belong to
        another prompt, and turns without an answer after all attempts.
    refused, cut_off, unreachable : Counter
        Failed attempts: refused, by status and code; cut off before the end of the
        response, by node; not connected, by node.
    bookings, booked, uncertain, not_booked : int
        Bookings started, and those that ran, may have run, and did not run.
    lookups : int
        Repeatable calls with a response.
    first_byte_ms : list of float
        Times in ms to the first byte of streamed answers.
    state_by_reference : dict
        Verdict of each booking, by its reference.
    """

    chat_turns: int = 0
    correct: int = 0
    wrong: int = 0
    abandoned: int = 0
    refused: collections.Counter = field(factory=collections.Counter)
    cut_off: collections.Counter = field(factory=collections.Counter)
    unreachable: collections.Counter = field(factory=collections.Counter)
    bookings: int = 0
    booked: int = 0
    uncertain: int = 0
    not_booked: int = 0
    lookups: int = 0
    first_byte_ms: list = field(factory=list)
    state_by_reference: dict = field(factory=dict)


class DemoCaller:
    """Holds chats and makes bookings for a given time.

    Parameters
    ----------
    plan : dict
        Plan that `demo/prepare.py` writes.
    balancer : LoadBalancer
        Sends the requests.
    seed : int
        Random seed of texts, customers and pauses.

    Attributes
    ----------
    tally : Tally
        Counts of what it observed.
    """

    def __init__(self, plan, balancer, seed=1):
        self.plan = plan
        self.balancer = balancer
        self.tally = Tally()
        self.customers = [Customer(**item) for item in plan["customers"]]
        self._random = random.Random(seed)
        self._stopping = False
        self._booking_numbers = itertools.count(1)

    async def run(self, seconds):
        """Send requests for some time, then wait for the pending responses.

        Parameters
        ----------
        seconds : float
            Time in s during which new requests are sent.
        """
        weights = [customer.weight for customer in self.customers]
        chosen = self._random.choices(
            self.customers, weights, k=CONCURRENT_CHATS + CONCURRENT_BOOKERS
        )
        tasks = [self._hold_chats(customer) for customer in chosen[:CONCURRENT_CHATS]]
        tasks += [
            self._make_bookings(customer) for customer in chosen[CONCURRENT_CHATS:]
        ]
        gathered = asyncio.gather(*tasks)
        await asyncio.sleep(seconds)
        self._stopping = True
        await gathered

    async def _hold_chats(self, customer):
        await self._pause((0.0, CHAT_PAUSE_S[1]))
        while not self._stopping:
            await self._hold_chat(customer)

    async def _hold_chat(self, customer):
        system = _make_text(random.Random(customer.name), SYSTEM_CHARS)
        messages = [{"role": "system", "content": system}]
        continuation = ""
        for turn in range(TURNS_PER_CHAT):
            if self._stopping:
                return
            text = _make_text(self._random, TURN_CHARS)
            messages.append({"role": "user", "content": text})
            streamed = bool(turn % 4)
            answer, continuation = await self._send_turn(
                customer, messages, streamed, continuation
            )
            if answer is None:
                return
            messages.append({"role": "assistant", "content": answer})
            await self._pause(CHAT_PAUSE_S)

    async def _send_turn(self, customer, messages, streamed, continuation):
        self.tally.chat_turns += 1
        value = {
            "model": self.plan["model"],
            "messages": messages,
            "max_tokens": ANSWER_TOKENS,
            "stream": streamed,
        }
        headers = {"Authorization": f"Bearer {customer.key}"}
        if continuation:
            headers["Peridotcove-Continuation"] = continuation
        expected = Completion(self.plan["model"], messages).text(ANSWER_TOKENS)
        for _ in range(MAX_ATTEMPTS):
            response = await self.balancer.send(
                "POST", "/v1/chat/completions", headers, value
            )
            answer = read_stream(response) if streamed else read_answer(response)
            if answer is not None:
                self._count_answer(response, answer, expected, streamed)
                return answer, response.headers.get("Peridotcove-Continuation", "")
            self._count_failure(response)
            await self._wait_before_retry(response)
        self.tally.abandoned += 1
        return None, ""

    def _count_answer(self, response, answer, expected, streamed):
        if answer != expected:
            self.tally.wrong += 1
            return
        self.tally.correct += 1
        if streamed:
            self.tally.first_byte_ms.append(response.first_byte_ms)

    def _count_failure(self, response):
        if not response.connected:
            self.tally.unreachable[response.node] += 1
        elif response.complete and response.status != 200:
            code = ((response.read_json() or {}).get("error") or {}).get("code", "?")
            self.tally.refused[f"{response.status} {code}"] += 1
        else:
            self.tally.cut_off[response.node] += 1

    async def _make_bookings(self, customer):
        while not self._stopping:
            await self._pause(BOOKING_PAUSE_S)
            await self._look_up(customer)
            await self._book(customer)

    async def _look_up(self, customer):
        path = f"/services/{self.plan['service']}{self.plan['lookup_path']}"
        headers = {"Authorization": f"Bearer {customer.key}"}
        response = await self.balancer.send("GET", path, headers)
        if response.complete and response.status == 200:
            self.tally.lookups += 1
        else:
            self._count_failure(response)

    async def _book(self, customer):
        reference = f"{customer.name}-{next(self._booking_numbers)}"
        self.tally.bookings += 1
        state = await self._book_with_retries(customer, reference)
        self.tally.state_by_reference[reference] = state
        self.tally.booked += state == "ran"
        self.tally.uncertain += state == "may-have-run"
        self.tally.not_booked += state == "not-run"

    async def _book_with_retries(self, customer, reference):
        path = f"/services/{self.plan['service']}{self.plan['booking_path']}"
        ticket, may_have_run = None, False
        for _ in range(MAX_ATTEMPTS):
            headers = {"Authorization": f"Bearer {customer.key}"}
            if ticket:
                headers["Peridotcove-Ticket"] = ticket
            response = await self.balancer.send(
                "POST", path, headers, {"reference": reference}
            )
            if response.complete and response.status == 428:
                ticket = response.headers["Peridotcove-Ticket"]
                continue
            if response.complete and response.verdict in ("ran", "may-have-run"):
                return response.verdict
            self._count_failure(response)
            if response.complete and response.verdict == "not-run":
                ticket, may_have_run = None, False
            else:
                may_have_run = may_have_run or (
                    ticket is not None and response.connected
                )
            await self._wait_before_retry(response)
        return "may-have-run" if may_have_run else "not-run"

    async def _wait_before_retry(self, response):
        wait = float(response.headers.get("Retry-After", RETRY_DELAY_S))
        await asyncio.sleep(
            min(wait, MAX_RETRY_DELAY_S) * self._random.uniform(0.5, 1.0)
        )

    async def _pause(self, between):
        await asyncio.sleep(self._random.uniform(*between))


def read_stream(response):
    """Return the text of a complete streamed answer, or None.

    Parameters
    ----------
    response : Response
        The response.
    """
    if response.status != 200 or not response.complete:
        return None
    values = [x.removeprefix(b"data: ") for x in response.body.split(b"\n\n") if x]
    if not values or values[-1] != b"[DONE]":
        return None
    parts = []
    for value in values[:-1]:
        event = json.loads(value)
        if "error" in event:
            return None
        for choice in event["choices"]:
            parts.append(choice["delta"].get("content", ""))
    return "".join(parts)


def read_answer(response):
    """Return the text of a complete answer that was not streamed, or None.

    Parameters
    ----------
    response : Response
        The response.
    """
    if response.status != 200 or not response.complete:
        return None
    value = response.read_json()
    return value["choices"][0]["message"]["content"] if value else None


def _make_text(rng, chars):
    words = []
    while sum(map(len, words)) + len(words) < chars:
        words.append(f"{rng.choice(WORDS)}{rng.randrange(10_000)}")
    return " ".join(words)[:chars]
