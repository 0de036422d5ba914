"""Remembers which software version began a stream that its caller may take up again."""

import xxhash
from attrs import frozen

from peridotcove.software_versions import STREAM_LIFE_MS

MAX_ORIGINS = 4_096


@frozen
class StreamOrigin:
    """Where a stream began.

    Attributes
    ----------
    model : str
        Model that serves it.
    software_version : str
        Software version of the engine that began it.
    """

    model: str
    software_version: str


def hash_stream_id(text):
    """Return the 64-bit hash under which a stream is remembered.

    Parameters
    ----------
    text : str
        Id of the request that brought its first event.
    """
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))


class StreamOrigins:
    """The origins of streams that are still remembered, by hash of their id.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    """

    def __init__(self, clock):
        self._clock = clock
        self._origin_by_stream = {}
        self._recorded_ms_by_stream = {}
        self._unshared = {}

    def __len__(self):
        return len(self._origin_by_stream)

    def record(self, stream, origin):
        """Record the origin of a stream, or that it goes on there.

        Parameters
        ----------
        stream : int
            Hash of its id.
        origin : StreamOrigin
            The origin; it replaces an earlier one, of a try that brought no event.
        """
        self._store(stream, origin)
        self._unshared[stream] = origin
        _drop_oldest(self._unshared)

    def merge(self, streams, origin):
        """Record origins that another node reports.

        Parameters
        ----------
        streams : iterable of int
            Hashes of the ids of streams that began there.
        origin : StreamOrigin
            Their origin.
        """
        for stream in streams:
            self._store(stream, origin)

    def _store(self, stream, origin):
        # The newest are last.
        self._origin_by_stream.pop(stream, None)
        self._recorded_ms_by_stream.pop(stream, None)
        self._origin_by_stream[stream] = origin
        self._recorded_ms_by_stream[stream] = self._clock.now()
        self._drop_outdated()

    def _drop_outdated(self):
        outdated_ms = self._clock.now() - STREAM_LIFE_MS
        while self._recorded_ms_by_stream:
            stream, recorded_ms = next(iter(self._recorded_ms_by_stream.items()))
            if len(self) <= MAX_ORIGINS and recorded_ms > outdated_ms:
                return
            del self._recorded_ms_by_stream[stream]
            del self._origin_by_stream[stream]

    def find(self, stream):
        """Return the `StreamOrigin` of a stream, or None if it is not known.

        Parameters
        ----------
        stream : int
            Hash of its id.
        """
        self._drop_outdated()
        return self._origin_by_stream.get(stream)

    def pop_unshared(self, model):
        """Return the streams of a model that this node has not yet shared, by origin.

        Parameters
        ----------
        model : str
            Name of the model.

        Returns
        -------
        dict of list of int
            Hashes of the ids of streams by `StreamOrigin`.
        """
        streams_by_origin = {}
        for stream, origin in list(self._unshared.items()):
            if stream not in self._origin_by_stream:
                del self._unshared[stream]
            elif origin.model == model:
                del self._unshared[stream]
                streams_by_origin.setdefault(origin, []).append(stream)
        return streams_by_origin

    def find_all(self, model):
        """Return all streams of a model that this node knows, by origin.

        Parameters
        ----------
        model : str
            Name of the model.

        Returns
        -------
        dict of list of int
            Hashes of the ids of streams by `StreamOrigin`.
        """
        self._drop_outdated()
        streams_by_origin = {}
        for stream, origin in self._origin_by_stream.items():
            if origin.model == model:
                streams_by_origin.setdefault(origin, []).append(stream)
        return streams_by_origin


def _drop_oldest(items):
    while len(items) > MAX_ORIGINS:
        del items[next(iter(items))]
