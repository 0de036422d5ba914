"""Bounds the memory that unfinished answers take at a node."""


class AnswerMemory:
    """Bytes of answers that are held until they are complete.

    If they take more than the limit, the largest is given up: an answer without end
    grows past each sound one.

    Parameters
    ----------
    limit_bytes : int
        Largest sum of all held answers in bytes.
    on_change : callable
        Called with the sum when it has changed.

    Attributes
    ----------
    total_bytes : int
        Sum of the held answers in bytes.
    """

    def __init__(self, limit_bytes, on_change=lambda total_bytes: None):
        self.total_bytes = 0
        self._on_change = on_change
        self._limit_bytes = limit_bytes
        self._bytes_by_holder = {}

    def update(self, holder, size):
        """Set the size of an answer, and give up the largest while there is no room.

        Parameters
        ----------
        holder : object
            Holds the answer; its `give_up_answer` is called if it is the largest.
        size : int
            Size of what it holds in bytes.
        """
        self.total_bytes += size - self._bytes_by_holder.get(holder, 0)
        self._bytes_by_holder[holder] = size
        while self.total_bytes > self._limit_bytes:
            largest = max(self._bytes_by_holder, key=self._bytes_by_holder.get)
            self.remove(largest)
            largest.give_up_answer()
        self._on_change(self.total_bytes)

    def remove(self, holder):
        """Forget an answer that ended or was given up; an unknown one is ignored.

        Parameters
        ----------
        holder : object
            Holds the answer.
        """
        size = self._bytes_by_holder.pop(holder, 0)
        if size:
            self.total_bytes -= size
            self._on_change(self.total_bytes)
