"""What became of the tickets of one process, and what a ticket allows now."""

import collections
import enum

from attrs import define, frozen

from peridotcove.verdict import Verdict

KEEP_MS = 600_000
MAX_ENTRIES = 50_000
MAX_ANSWER_BYTES = 65_536
MAX_ANSWERS_BYTES = 4 << 20


@frozen
class Answer:
    """What is told about a request that had a ticket.

    Attributes
    ----------
    verdict : Verdict
        Whether it may have run.
    status : int
        HTTP status towards the caller.
    headers : tuple of tuple
        Names and values.
    body : bytes
        Whole body.
    """

    verdict: Verdict
    status: int
    headers: tuple = ()
    body: bytes = b""


@frozen
class RunHere:
    """The request is to be run now, by this process, once.

    Attributes
    ----------
    sequence : int
        Number of the ticket.
    """

    sequence: int


@frozen
class Join:
    """The request is running here; its answer will do for this call too.

    Attributes
    ----------
    sequence : int
        Number of the ticket.
    """

    sequence: int


@frozen
class Forward:
    """Another process decides; the copy of the request is to be moved there.

    Attributes
    ----------
    node : str
        Its node.
    incarnation : int
        Its start, wall time in ms.
    """

    node: str
    incarnation: int


@frozen
class Refuse:
    """The request is not run by this call, and never will be.

    Attributes
    ----------
    code : str
        Reason.
    verdict : Verdict
        What is known of earlier calls with the same ticket.
    """

    code: str
    verdict: Verdict


class Outcome(enum.IntEnum):
    """What became of a used ticket."""

    RUNNING = 0
    RAN = 1
    MAY_HAVE_RUN = 2
    NOT_RUN = 3


OUTCOME_BY_VERDICT = {
    Verdict.RAN: Outcome.RAN,
    Verdict.MAY_HAVE_RUN: Outcome.MAY_HAVE_RUN,
    Verdict.NOT_RUN: Outcome.NOT_RUN,
}
REFUSAL_BY_OUTCOME = {
    Outcome.RAN: Refuse("answer-not-kept", Verdict.RAN),
    Outcome.MAY_HAVE_RUN: Refuse("outcome-unknown", Verdict.MAY_HAVE_RUN),
    Outcome.NOT_RUN: Refuse("ticket-spent", Verdict.NOT_RUN),
}
FORGOTTEN = Refuse("ticket-forgotten", Verdict.MAY_HAVE_RUN)
EXPIRED = Refuse("ticket-expired", Verdict.NOT_RUN)
BOUND = Refuse("ticket-bound", Verdict.MAY_HAVE_RUN)


@define
class Entry:
    """State of one used ticket.

    Attributes
    ----------
    digest : bytes
        Digest of the call that it is bound to.
    expires_ms : int
        End of the ticket, in ms after the start of its process.
    outcome : Outcome
        What became of it.
    answer : Answer or None
        The kept answer.
    """

    digest: bytes
    expires_ms: int
    outcome: Outcome = Outcome.RUNNING
    answer: Answer | None = None


class Ledger:
    """Used tickets of one process; only its holder may run those tickets.

    Parameters
    ----------
    clock : Clock
        Time in ms; counts suspend, so that no ticket outlives its entry.
    elapsed_ms : int
        Time in ms since the start of the process that minted the tickets.
    until_ms : int
        End of the last ticket, in ms after that start.
    floor : int
        Tickets below this number without an entry were forgotten.
    """

    def __init__(self, clock, elapsed_ms=0, until_ms=0, floor=0):
        self.clock = clock
        self.until_ms = until_ms
        self.floor = floor
        self.entry_by_sequence = collections.OrderedDict()
        self._answered = collections.OrderedDict()
        self._answer_bytes = 0
        self._started = clock.now() - elapsed_ms

    def elapsed(self):
        """Return the time in ms since the start of the minting process."""
        return self.clock.now() - self._started

    def begin(self, ticket, digest):
        """Return what a call with a ticket leads to.

        Parameters
        ----------
        ticket : Ticket
            A ticket of this ledger's process.
        digest : bytes
            Digest of the call.

        Returns
        -------
        RunHere, Join, Answer or Refuse
            `RunHere` is returned at most once for a ticket.
        """
        elapsed = self.elapsed()
        if elapsed >= ticket.expires_ms + KEEP_MS:
            return FORGOTTEN
        entry = self.entry_by_sequence.get(ticket.sequence)
        if entry is not None:
            return self._repeat(ticket.sequence, entry, digest)
        if ticket.sequence < self.floor:
            return FORGOTTEN
        if elapsed >= ticket.expires_ms:
            return EXPIRED
        self._make_room()
        self.entry_by_sequence[ticket.sequence] = Entry(digest, ticket.expires_ms)
        return RunHere(ticket.sequence)

    def _repeat(self, sequence, entry, digest):
        if entry.digest != digest:
            return BOUND
        if entry.outcome is Outcome.RUNNING:
            return Join(sequence)
        return entry.answer or REFUSAL_BY_OUTCOME[entry.outcome]

    def _make_room(self):
        if len(self.entry_by_sequence) < MAX_ENTRIES:
            return
        sequence = next(iter(self.entry_by_sequence))
        self._forget(sequence)
        self.floor = max(self.floor, sequence + 1)

    def finish(self, sequence, answer):
        """Record what became of a ticket that `begin` let run.

        Parameters
        ----------
        sequence : int
            Number of the ticket.
        answer : Answer
            What is told about it; kept if it is small enough.
        """
        entry = self.entry_by_sequence.get(sequence)
        if entry is None or entry.outcome is not Outcome.RUNNING:
            return
        entry.outcome = OUTCOME_BY_VERDICT[answer.verdict]
        if entry.outcome is Outcome.RAN and _size(answer) <= MAX_ANSWER_BYTES:
            self._keep_answer(sequence, entry, answer)

    def _keep_answer(self, sequence, entry, answer):
        entry.answer = answer
        self._answered[sequence] = self.clock.now() + KEEP_MS
        self._answer_bytes += _size(answer)
        while self._answer_bytes > MAX_ANSWERS_BYTES:
            self._drop_answer(next(iter(self._answered)))

    def _drop_answer(self, sequence):
        if self._answered.pop(sequence, None) is None:
            return
        entry = self.entry_by_sequence[sequence]
        self._answer_bytes -= _size(entry.answer)
        entry.answer = None

    def expire(self):
        """Forget answers and tickets whose time is over."""
        now = self.clock.now()
        while self._answered and next(iter(self._answered.values())) <= now:
            self._drop_answer(next(iter(self._answered)))
        end = self.elapsed() - KEEP_MS
        entries = self.entry_by_sequence
        while entries and next(iter(entries.values())).expires_ms <= end:
            self._forget(next(iter(entries)))

    def _forget(self, sequence):
        self._drop_answer(sequence)
        del self.entry_by_sequence[sequence]

    def is_over(self):
        """Return whether no ticket of the process can matter any more."""
        return self.elapsed() >= self.until_ms + KEEP_MS

    def count_running(self):
        """Return the count of tickets whose requests are in progress."""
        entries = self.entry_by_sequence.values()
        return sum(entry.outcome is Outcome.RUNNING for entry in entries)

    def dump(self):
        """Return the entries as plain lists, for another process to `load`."""
        return [
            _dump_entry(sequence, entry)
            for sequence, entry in self.entry_by_sequence.items()
        ]

    def load(self, rows):
        """Take over entries from `dump`; what was in progress may have run.

        Parameters
        ----------
        rows : list
            The entries.
        """
        for sequence, digest, expires, outcome, *answer in rows:
            entry = Entry(digest, expires, Outcome(outcome))
            self.entry_by_sequence[sequence] = entry
            if answer:
                status, headers, body = answer
                pairs = tuple(tuple(pair) for pair in headers)
                kept = Answer(Verdict.RAN, status, pairs, body)
                self._keep_answer(sequence, entry, kept)


def _size(answer):
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers


def _dump_entry(sequence, entry):
    outcome = entry.outcome
    if outcome is Outcome.RUNNING:
        outcome = Outcome.MAY_HAVE_RUN
    row = [sequence, entry.digest, entry.expires_ms, int(outcome)]
    if entry.answer is not None:
        answer = entry.answer
        headers = [list(pair) for pair in answer.headers]
        row += [answer.status, headers, answer.body]
    return row
