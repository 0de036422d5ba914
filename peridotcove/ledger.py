"""Ledger of the used tickets of one process and the outcomes of their calls.

A ledger makes sure that the call of a ticket runs at most once. It keeps the answer for
a while, so that a repeated call gets the same answer.
"""

import collections
import enum

from attrs import define, frozen

from peridotcove.verdict import Verdict

RETENTION_MS = 600_000
MAX_ENTRIES = 50_000
MAX_ANSWER_BYTES = 65_536
MAX_ANSWERS_BYTES = 4 << 20


@frozen
class Answer:
    """Answer to a call.

    Attributes
    ----------
    verdict : Verdict
        Whether the call may have run.
    status : int
        HTTP status for the caller.
    headers : tuple of tuple
        Names and values of header fields.
    body : bytes
        Complete body.
    """

    verdict: Verdict
    status: int
    headers: tuple = ()
    body: bytes = b""


@frozen
class RunHere:
    """Decision: this process runs the call now, once.

    Attributes
    ----------
    sequence : int
        Number of the ticket.
    """

    sequence: int


@frozen
class Join:
    """Decision: the call is already running here; wait for its answer.

    Attributes
    ----------
    sequence : int
        Number of the ticket.
    """

    sequence: int


@frozen
class ForwardTo:
    """Decision: another process holds the ledger; forward the call to it.

    Attributes
    ----------
    node : str
        Node of the other process.
    incarnation : int
        Start of the other process, wall time in ms.
    """

    node: str
    incarnation: int


@frozen
class Refuse:
    """Decision: refuse the call; it does not run now or later.

    Attributes
    ----------
    code : str
        Error code.
    verdict : Verdict
        Whether an earlier call with the same ticket may have run.
    """

    code: str
    verdict: Verdict


class Outcome(enum.IntEnum):
    """Outcome of the call of a used ticket."""

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
BOUND_TO_OTHER_CALL = Refuse("ticket-bound", Verdict.MAY_HAVE_RUN)


@define
class Entry:
    """State of one used ticket.

    Attributes
    ----------
    digest : bytes
        Digest of the call that the ticket is bound to.
    expires_ms : int
        Expiry of the ticket, in ms after the start of the process that minted it.
    outcome : Outcome
        Outcome of the call.
    answer : Answer or None
        The answer, if it is kept.
    """

    digest: bytes
    expires_ms: int
    outcome: Outcome = Outcome.RUNNING
    answer: Answer | None = None


class Ledger:
    """Used tickets of one process. Only its holder may run the calls of these tickets.

    Parameters
    ----------
    clock : Clock
        Time in ms; it includes the time during which the host was suspended, so that
        no ticket outlives its entry.
    elapsed_ms : int
        Time in ms since the start of the process that minted the tickets.
    until_ms : int
        Expiry of the last ticket, in ms after that start.
    floor : int
        Entries of tickets below this number may have been evicted: such a ticket is
        refused if it has no entry.

    Attributes
    ----------
    entry_by_sequence : OrderedDict of int to Entry
        Used tickets by number, in the order of their use.
    """

    def __init__(self, clock, elapsed_ms=0, until_ms=0, floor=0):
        self.clock = clock
        self.until_ms = until_ms
        self.floor = floor
        self.entry_by_sequence = collections.OrderedDict()
        self._answer_end_by_sequence = collections.OrderedDict()
        self._answer_bytes = 0
        self._started_ms = clock.now() - elapsed_ms

    def get_elapsed_ms(self):
        """Return the time in ms since the minting process started."""
        return self.clock.now() - self._started_ms

    def begin(self, ticket, digest):
        """Return the decision about a call with a ticket; mark the ticket as used.

        Parameters
        ----------
        ticket : Ticket
            A ticket that the process of this ledger minted.
        digest : bytes
            Digest of the call.

        Returns
        -------
        RunHere, Join, Answer or Refuse
            `RunHere` is returned at most once for each ticket.
        """
        age_ms = self.get_elapsed_ms()
        if age_ms >= ticket.expires_ms + RETENTION_MS:
            return FORGOTTEN
        entry = self.entry_by_sequence.get(ticket.sequence)
        if entry is not None:
            return self._decide_repeat(ticket.sequence, entry, digest)
        if ticket.sequence < self.floor:
            return FORGOTTEN
        if age_ms >= ticket.expires_ms:
            return EXPIRED
        self._evict_if_full()
        self.entry_by_sequence[ticket.sequence] = Entry(digest, ticket.expires_ms)
        return RunHere(ticket.sequence)

    def _decide_repeat(self, sequence, entry, digest):
        if entry.digest != digest:
            return BOUND_TO_OTHER_CALL
        if entry.outcome is Outcome.RUNNING:
            return Join(sequence)
        return entry.answer or REFUSAL_BY_OUTCOME[entry.outcome]

    def _evict_if_full(self):
        if len(self.entry_by_sequence) < MAX_ENTRIES:
            return
        sequence = next(iter(self.entry_by_sequence))
        self._remove_entry(sequence)
        self.floor = max(self.floor, sequence + 1)

    def finish(self, sequence, answer):
        """Record the outcome of a call for which `begin` returned `RunHere`.

        Parameters
        ----------
        sequence : int
            Number of the ticket.
        answer : Answer
            Answer to the call; it is kept if it is at most `MAX_ANSWER_BYTES`.
        """
        entry = self.entry_by_sequence.get(sequence)
        if entry is None or entry.outcome is not Outcome.RUNNING:
            return
        entry.outcome = OUTCOME_BY_VERDICT[answer.verdict]
        if entry.outcome is Outcome.RAN and _count_bytes(answer) <= MAX_ANSWER_BYTES:
            self._keep_answer(sequence, entry, answer)

    def _keep_answer(self, sequence, entry, answer):
        entry.answer = answer
        self._answer_end_by_sequence[sequence] = self.clock.now() + RETENTION_MS
        self._answer_bytes += _count_bytes(answer)
        while self._answer_bytes > MAX_ANSWERS_BYTES:
            self._drop_answer(next(iter(self._answer_end_by_sequence)))

    def _drop_answer(self, sequence):
        if self._answer_end_by_sequence.pop(sequence, None) is None:
            return
        entry = self.entry_by_sequence[sequence]
        self._answer_bytes -= _count_bytes(entry.answer)
        entry.answer = None

    def expire(self):
        """Remove answers and tickets whose retention time is over."""
        now = self.clock.now()
        while (
            self._answer_end_by_sequence
            and next(iter(self._answer_end_by_sequence.values())) <= now
        ):
            self._drop_answer(next(iter(self._answer_end_by_sequence)))
        end = self.get_elapsed_ms() - RETENTION_MS
        entries = self.entry_by_sequence
        while entries and next(iter(entries.values())).expires_ms <= end:
            self._remove_entry(next(iter(entries)))

    def _remove_entry(self, sequence):
        self._drop_answer(sequence)
        del self.entry_by_sequence[sequence]

    def is_expired(self):
        """Return whether the retention time of all tickets of the process is over."""
        return self.get_elapsed_ms() >= self.until_ms + RETENTION_MS

    def count_running(self):
        """Return the number of calls in progress."""
        entries = self.entry_by_sequence.values()
        return sum(entry.outcome is Outcome.RUNNING for entry in entries)

    def dump(self):
        """Return the entries as plain lists, for another process to `load`."""
        return [
            _dump_entry(sequence, entry)
            for sequence, entry in self.entry_by_sequence.items()
        ]

    def load(self, rows):
        """Load entries from `dump`; calls that were in progress may have run.

        Parameters
        ----------
        rows : list
            Entries that `dump` returned.
        """
        for sequence, digest, expires, outcome, *answer in rows:
            entry = Entry(digest, expires, Outcome(outcome))
            self.entry_by_sequence[sequence] = entry
            if answer:
                status, headers, body = answer
                pairs = tuple(tuple(pair) for pair in headers)
                kept = Answer(Verdict.RAN, status, pairs, body)
                self._keep_answer(sequence, entry, kept)


def _count_bytes(answer):
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
