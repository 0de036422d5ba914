"""Writes the way of a configuration revision on the node's time line."""

from peridotcove.nodes.configuration_messages import Delta, Offer


class RevisionEvents:
    """Records where a revision comes from and where it goes.

    Parameters
    ----------
    timeline : Timeline
        The node's events.
    """

    def __init__(self, timeline):
        self._timeline = timeline
        self._known = 0
        self._refused = 0

    def record_sent(self, peer, message):
        """Record a message that goes to another node.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            The message; only those that carry or offer a revision count.
        """
        if isinstance(message, (Delta, Offer)) and message.revision:
            self._note_source(message.revision)
            self._record("revision-sent", message.revision, peer)

    def record_received(self, peer, message):
        """Record a message that came from another node, before it is acted on.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            The message; only those with a later revision than was seen count.
        """
        if not isinstance(message, (Delta, Offer)):
            return
        if message.revision > self._known:
            self._known = message.revision
            self._record("revision-received", message.revision, peer)

    def record_in_force(self, revision):
        """Record that a revision is in force.

        Parameters
        ----------
        revision : int
            The revision; one that no peer sent was read from the service.
        """
        self._note_source(revision)
        self._record("revision-in-force", revision)

    def record_refused(self, refused):
        """Record a refused revision, once.

        Parameters
        ----------
        refused : Refused or None
            What `Revisions.refused` says.
        """
        if refused is None or refused.revision == self._refused:
            return
        self._refused = refused.revision
        detail = refused.faults[0] if refused.faults else ""
        self._record("revision-refused", refused.revision, detail=detail)

    def _note_source(self, revision):
        if revision > self._known:
            self._known = revision
            self._record("revision-read", revision)

    def _record(self, kind, revision, peer="", detail=""):
        self._timeline.record(kind, revision=revision, peer=peer, detail=detail)
