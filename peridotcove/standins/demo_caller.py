"""A caller that holds returning chats and makes bookings."""

import asyncio
import collections
import itertools
import json
import random

from attrs import define, field, frozen

from peridotcove.standins.completions import Completion

CHATS = 100
BOOKERS = 12
TURNS_PER_CHAT = 10
ANSWER_TOKENS = 48
SYSTEM_CHARS = 2_000
TURN_CHARS = 400
PAUSE_S = (0.3, 1.5)
BOOKING_PAUSE_S = (0.1, 0.5)
MAX_TRIES = 10
RETRY_S = 0.2
MAX_RETRY_S = 2.0
WORDS = ("stand", "glove", "quote", "cotton", "wedding", "archive", "tier", "batch")


@frozen
class Customer:
    """A customer of the plan.

    Attributes
    ----------
    name, key : str
        Name and API key.
    weight : float
        Share of the calls.
    """

    name: str
    key: str
    weight: float


@define
class Tally:
    """What the caller saw.

    Attributes
    ----------
    chats, whole, wrong, given_up : int
        Turns asked, whole answers to their own requests, answers that belong to
        another prompt, and turns without an answer after all tries.
    refused, cut, unreachable : Counter
        Tries by node that were refused, broken off, or met no listener.
    bookings, booked, doubtful, unbooked : int
        Bookings begun, run, left at "may have run", and never run.
    lookups : int
        Repeatable calls answered.
    first_ms : list of float
        Times to the first byte of streamed answers.
    state_by_reference : dict
        What the caller was told of each booking.
    """

    chats: int = 0
    whole: int = 0
    wrong: int = 0
    given_up: int = 0
    refused: collections.Counter = field(factory=collections.Counter)
    cut: collections.Counter = field(factory=collections.Counter)
    unreachable: collections.Counter = field(factory=collections.Counter)
    bookings: int = 0
    booked: int = 0
    doubtful: int = 0
    unbooked: int = 0
    lookups: int = 0
    first_ms: list = field(factory=list)
    state_by_reference: dict = field(factory=dict)


class Caller:
    """Holds chats and makes bookings until told to stop.

    Parameters
    ----------
    plan : dict
        What `demo/prepare.py` writes.
    balancer : Balancer
        Sends the requests.
    seed : int
        Seed of texts, customers and pauses.

    Attributes
    ----------
    tally : Tally
        What it saw.
    """

    def __init__(self, plan, balancer, seed=1):
        self.plan = plan
        self.balancer = balancer
        self.tally = Tally()
        self.customers = [Customer(**item) for item in plan["customers"]]
        self._random = random.Random(seed)
        self._stopping = False
        self._number = itertools.count(1)

    async def run(self, seconds):
        """Call for some time, then wait for the last answers.

        Parameters
        ----------
        seconds : float
            How long new requests are made.
        """
        weights = [customer.weight for customer in self.customers]
        chosen = self._random.choices(self.customers, weights, k=CHATS + BOOKERS)
        tasks = [self._hold_chats(customer) for customer in chosen[:CHATS]]
        tasks += [self._make_bookings(customer) for customer in chosen[CHATS:]]
        gathered = asyncio.gather(*tasks)
        await asyncio.sleep(seconds)
        self._stopping = True
        await gathered

    async def _hold_chats(self, customer):
        await self._pause((0.0, PAUSE_S[1]))
        while not self._stopping:
            await self._hold_chat(customer)

    async def _hold_chat(self, customer):
        system = _make_text(random.Random(customer.name), SYSTEM_CHARS)
        messages = [{"role": "system", "content": system}]
        hint = ""
        for turn in range(TURNS_PER_CHAT):
            if self._stopping:
                return
            text = _make_text(self._random, TURN_CHARS)
            messages.append({"role": "user", "content": text})
            streamed = bool(turn % 4)
            answer, hint = await self._ask(customer, messages, streamed, hint)
            if answer is None:
                return
            messages.append({"role": "assistant", "content": answer})
            await self._pause(PAUSE_S)

    async def _ask(self, customer, messages, streamed, hint):
        self.tally.chats += 1
        value = {
            "model": self.plan["model"],
            "messages": messages,
            "max_tokens": ANSWER_TOKENS,
            "stream": streamed,
        }
        headers = {"Authorization": f"Bearer {customer.key}"}
        if hint:
            headers["Peridotcove-Continuation"] = hint
        expected = Completion(self.plan["model"], messages).text(ANSWER_TOKENS)
        for _ in range(MAX_TRIES):
            reply = await self.balancer.send(
                "POST", "/v1/chat/completions", headers, value
            )
            answer = read_stream(reply) if streamed else read_answer(reply)
            if answer is not None:
                self._count_answer(reply, answer, expected, streamed)
                return answer, reply.headers.get("Peridotcove-Continuation", "")
            self._count_failure(reply)
            await self._wait(reply)
        self.tally.given_up += 1
        return None, ""

    def _count_answer(self, reply, answer, expected, streamed):
        if answer != expected:
            self.tally.wrong += 1
            return
        self.tally.whole += 1
        if streamed:
            self.tally.first_ms.append(reply.first_ms)

    def _count_failure(self, reply):
        if not reply.sent:
            self.tally.unreachable[reply.node] += 1
        elif reply.whole and reply.status != 200:
            code = ((reply.read_json() or {}).get("error") or {}).get("code", "?")
            self.tally.refused[f"{reply.status} {code}"] += 1
        else:
            self.tally.cut[reply.node] += 1

    async def _make_bookings(self, customer):
        while not self._stopping:
            await self._pause(BOOKING_PAUSE_S)
            await self._look_up(customer)
            await self._book(customer)

    async def _look_up(self, customer):
        path = f"/services/{self.plan['service']}{self.plan['lookup_path']}"
        headers = {"Authorization": f"Bearer {customer.key}"}
        reply = await self.balancer.send("GET", path, headers)
        if reply.whole and reply.status == 200:
            self.tally.lookups += 1
        else:
            self._count_failure(reply)

    async def _book(self, customer):
        reference = f"{customer.name}-{next(self._number)}"
        self.tally.bookings += 1
        state = await self._try_booking(customer, reference)
        self.tally.state_by_reference[reference] = state
        self.tally.booked += state == "ran"
        self.tally.doubtful += state == "may-have-run"
        self.tally.unbooked += state == "not-run"

    async def _try_booking(self, customer, reference):
        path = f"/services/{self.plan['service']}{self.plan['booking_path']}"
        ticket, unsure = None, False
        for _ in range(MAX_TRIES):
            headers = {"Authorization": f"Bearer {customer.key}"}
            if ticket:
                headers["Peridotcove-Ticket"] = ticket
            reply = await self.balancer.send(
                "POST", path, headers, {"reference": reference}
            )
            if reply.whole and reply.status == 428:
                ticket = reply.headers["Peridotcove-Ticket"]
                continue
            if reply.whole and reply.verdict in ("ran", "may-have-run"):
                return reply.verdict
            self._count_failure(reply)
            if reply.whole and reply.verdict == "not-run":
                ticket, unsure = None, False
            else:
                unsure = unsure or (ticket is not None and reply.sent)
            await self._wait(reply)
        return "may-have-run" if unsure else "not-run"

    async def _wait(self, reply):
        wait = float(reply.headers.get("Retry-After", RETRY_S))
        await asyncio.sleep(min(wait, MAX_RETRY_S) * self._random.uniform(0.5, 1.0))

    async def _pause(self, between):
        await asyncio.sleep(self._random.uniform(*between))


def read_stream(reply):
    """Return the text of a whole streamed answer, or None.

    Parameters
    ----------
    reply : Reply
        What came back.
    """
    if reply.status != 200 or not reply.whole:
        return None
    values = [x.removeprefix(b"data: ") for x in reply.body.split(b"\n\n") if x]
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


def read_answer(reply):
    """Return the text of a whole answer in one piece, or None.

    Parameters
    ----------
    reply : Reply
        What came back.
    """
    if reply.status != 200 or not reply.whole:
        return None
    value = reply.read_json()
    return value["choices"][0]["message"]["content"] if value else None


def _make_text(rng, chars):
    words = []
    while sum(map(len, words)) + len(words) < chars:
        words.append(f"{rng.choice(WORDS)}{rng.randrange(10_000)}")
    return " ".join(words)[:chars]
