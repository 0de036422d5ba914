"""Bounds the memory that connections take, and decides which are closed for it."""

from peridotcove.clock import MS_PER_S
from peridotcove.connection_memory.allocator import (
    LARGE_BUFFER_BYTES,
    return_large_buffers,
)

# Period in ms in which progress is looked at.
CHECK_INTERVAL_MS = 1_000
# Added to the time without progress, so that size counts also while all progress.
MIN_STALLED_MS = 1_000
# Share of the limit that is made free at once, so that room is not made for each read.
SPARE_SHARE = 1 / 16

# Reasons for which a connection is given up; labels of the metric.
FULL = "memory"
SLOW = "slow"
TOO_MANY = "descriptors"


class Holder:
    """Base class of what holds bytes because of a connection.

    Attributes
    ----------
    held_bytes : int
        Bytes that are counted.
    is_receiving : bool
        Whether a request is arriving, so that the connection has to progress.
    may_rest : bool
        Whether it is given up only if the memory is full, however long it rests.
    progress_ms : int
        Time in ms at which its progress was last seen.
    seen_bytes : int
        Moved bytes at that time.
    """

    held_bytes = 0
    is_receiving = False
    may_rest = False
    progress_ms = 0
    seen_bytes = 0

    @property
    def is_spared(self):
        """Whether it waits for this node and not for its client."""
        raise NotImplementedError

    def measure(self):
        """Return the bytes that are held now."""
        raise NotImplementedError

    def count_moved(self):
        """Return the bytes that the client has sent and taken since it connected."""
        raise NotImplementedError

    def give_up(self, reason):
        """Refuse or close the connection and drop what it holds.

        Parameters
        ----------
        reason : str
            `FULL`, `SLOW` or `TOO_MANY`.
        """
        raise NotImplementedError


class ConnectionMemory:
    """Counts the bytes held for connections, and gives connections up.

    If they take more than the limit, those are given up that hold most for longest
    without progress. Progress is a least rate: who sends or takes a byte now and then
    makes none.

    Parameters
    ----------
    clock : Clock
        Source of time.
    capacity : Capacity
        Bytes that may be held.
    least_bytes_per_s : int
        Least rate at which a client has to send its request and to take its answer.
    patience_ms : int
        Time in ms without that rate after which a connection is given up.

    Attributes
    ----------
    answer_bytes : int
        Bytes of unfinished answers, which are bounded by their own limit.
    """

    def __init__(self, clock, capacity, least_bytes_per_s, patience_ms):
        self.answer_bytes = 0
        self._clock = clock
        self._limit_bytes = capacity.held_bytes
        self._body_limit_bytes = capacity.body_bytes
        self._least_bytes_per_s = least_bytes_per_s
        self._patience_ms = patience_ms
        self._held_bytes = 0
        self._body_bytes_by_holder = {}
        self._admitted_bytes = 0
        # A dict, because it keeps the order in which holders came.
        self._holders = {}
        self._checked_ms = clock.now()

    def __len__(self):
        return len(self._holders)

    @property
    def total_bytes(self):
        """Bytes held now, those of unfinished answers included."""
        return self._held_bytes + self.answer_bytes

    @property
    def limit_bytes(self):
        """Largest sum in bytes."""
        return self._limit_bytes

    def watch(self, holder):
        """Watch the progress of a holder that holds next to nothing yet.

        Parameters
        ----------
        holder : Holder
            The holder; it is watched until `forget`.
        """
        if holder not in self._holders:
            self._holders[holder] = None
            # To ask for the time and for what has moved would cost each request more
            # than it matters: the first check takes what moved before for progress.
            holder.progress_ms = self._checked_ms
            holder.seen_bytes = 0

    def update(self, holder):
        """Count what a holder holds, and make room if all hold too much.

        Parameters
        ----------
        holder : Holder
            The holder; it is watched until `forget`.
        """
        if holder not in self._holders:
            self._holders[holder] = None
            holder.progress_ms = self._clock.now()
            holder.seen_bytes = holder.count_moved()
        size = holder.measure()
        if size >= LARGE_BUFFER_BYTES:
            return_large_buffers()
        self._held_bytes += size - holder.held_bytes
        holder.held_bytes = size
        if self._held_bytes + self.answer_bytes > self._limit_bytes:
            self._make_room()

    def forget(self, holder):
        """Stop watching a holder that holds nothing any more.

        Parameters
        ----------
        holder : Holder
            The holder; an unknown one is ignored.
        """
        if holder in self._holders:
            del self._holders[holder]
            self._held_bytes -= holder.held_bytes
            holder.held_bytes = 0

    def set_answer_bytes(self, size):
        """Set the size of all unfinished answers, and make room for them.

        Parameters
        ----------
        size : int
            Size in bytes.
        """
        self.answer_bytes = size
        if size >= LARGE_BUFFER_BYTES:
            return_large_buffers()
        if self._held_bytes + size > self._limit_bytes:
            self._make_room()

    def has_room_for(self, size):
        """Return whether a body of a size could be admitted now.

        Parameters
        ----------
        size : int
            Size in bytes.
        """
        return self._admitted_bytes + size <= self._body_limit_bytes

    def admit(self, holder, size):
        """Count the body of a request that is to run; return whether there is room.

        Parameters
        ----------
        holder : Holder
            Connection of the request.
        size : int
            Size of the body in bytes.
        """
        if not self.has_room_for(size):
            return False
        if size:
            self._body_bytes_by_holder[holder] = size
            self._admitted_bytes += size
        return True

    def dismiss(self, holder):
        """Stop counting the body of a request that has ended.

        Parameters
        ----------
        holder : Holder
            Connection of the request; one without such a body is ignored.
        """
        if self._body_bytes_by_holder:
            self._admitted_bytes -= self._body_bytes_by_holder.pop(holder, 0)

    def give_up_slowest(self):
        """Give up the request that arrives with the longest time without progress.

        Returns
        -------
        bool
            Whether there was one.
        """
        self._find_progress()
        receiving = [one for one in self._holders if one.is_receiving]
        if not receiving:
            return False
        self._give_up(min(receiving, key=lambda one: one.progress_ms), TOO_MANY)
        return True

    def tick(self):
        """Give up connections that have made no progress for too long."""
        now = self._clock.now()
        passed_ms = now - self._checked_ms
        if passed_ms < CHECK_INTERVAL_MS:
            return
        self._checked_ms = now
        if not self._holders:
            return
        late_ms = passed_ms - CHECK_INTERVAL_MS
        if late_ms > CHECK_INTERVAL_MS:
            # The process did not run meanwhile, so no client could progress.
            for holder in self._holders:
                holder.progress_ms += late_ms
        self._find_progress()
        for holder in list(self._holders):
            if holder.is_spared:
                continue
            if not holder.held_bytes and not holder.is_receiving:
                self.forget(holder)
            elif now - holder.progress_ms > self._patience_ms and not holder.may_rest:
                self._give_up(holder, SLOW)

    def _find_progress(self):
        """Measure all holders, and record which have progressed."""
        now = self._clock.now()
        held_bytes = 0
        for holder in self._holders:
            holder.held_bytes = holder.measure()
            held_bytes += holder.held_bytes
            moved_bytes = holder.count_moved()
            passed_ms = now - holder.progress_ms
            least_bytes = self._least_bytes_per_s * passed_ms / MS_PER_S
            if moved_bytes - holder.seen_bytes > least_bytes or holder.is_spared:
                holder.progress_ms = now
                holder.seen_bytes = moved_bytes
        self._held_bytes = held_bytes

    def _make_room(self):
        self._find_progress()
        now = self._clock.now()
        target_bytes = self._limit_bytes * (1 - SPARE_SHARE)

        def weigh(holder):
            stalled_ms = now - holder.progress_ms + MIN_STALLED_MS
            return holder.held_bytes * stalled_ms

        candidates = [one for one in self._holders if not one.is_spared]
        candidates.sort(key=weigh, reverse=True)
        for holder in candidates:
            if self.total_bytes <= target_bytes:
                return
            self._give_up(holder, FULL)

    def _give_up(self, holder, reason):
        self.forget(holder)
        holder.give_up(reason)
