"""Records the propagation of configuration revisions in the node's timeline."""

from peridotcove.nodes.configuration_messages import Delta, Offer


class RevisionEvents:
    """Records from where a revision is received and to which nodes it is sent.

    Parameters
    ----------
    timeline : Timeline
        The node's events.
    """

    def __init__(self, timeline):
        self._timeline = timeline
        self._known_revision = 0
        self._refused_revision = 0

    def record_sent(self, peer, message):
        """Record a message sent to another node.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            The message; only those that carry or offer a revision are recorded.
        """
        if isinstance(message, (Delta, Offer)) and message.revision:
            self._record_source(message.revision)
            self._record("revision-sent", message.revision, peer)

    def record_received(self, peer, message):
        """Record a message received from another node, before it is handled.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            The message; only those with a later revision than any seen are recorded.
        """
        if not isinstance(message, (Delta, Offer)):
            return
        if message.revision > self._known_revision:
            self._known_revision = message.revision
            self._record("revision-received", message.revision, peer)

    def record_in_force(self, revision):
        """Record that a revision came into force.

        Parameters
        ----------
        revision : int
            The revision; if no peer sent it, it was read from the service.
        """
        self._record_source(revision)
        self._record("revision-in-force", revision)

    def record_refused(self, refused):
        """Record a refused revision once.

        Parameters
        ----------
        refused : RefusedRevision or None
            Value of `Revisions.refused`.
        """
        if refused is None or refused.revision == self._refused_revision:
            return
        self._refused_revision = refused.revision
        detail = refused.faults[0] if refused.faults else ""
        self._record("revision-refused", refused.revision, detail=detail)

    def _record_source(self, revision):
        if revision > self._known_revision:
            self._known_revision = revision
            self._record("revision-read", revision)

    def _record(self, kind, revision, peer="", detail=""):
        self._timeline.record(kind, revision=revision, peer=peer, detail=detail)
