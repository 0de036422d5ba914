"""Runs ticketed calls on the event loop, each at most once."""

import asyncio
import contextlib
import logging
import os

from peridotcove.exceptions import LinkDown, RequestError
from peridotcove.ledger import Answer
from peridotcove.nodes.network import OutgoingMessage
from peridotcove.ticketed_calls import StartCall
from peridotcove.verdict import Verdict

log = logging.getLogger("peridotcove.once")

CALL_ID_BYTES = 8
INTERNAL_FAILURE = Answer(Verdict.MAY_HAVE_RUN, 500)


class TicketedCallExecutor:
    """Performs the actions that `TicketedCallCoordinator` returns.

    Parameters
    ----------
    call_coordinator : TicketedCallCoordinator
        Decides what happens to each call.
    network : Network
        Links to other nodes.
    send_call : callable
        Coroutine function that sends a `TicketedCall` to an endpoint, once, and
        returns an `Answer` or raises `RequestError`.
    events : TicketedCallEvents
        Records the events of calls on the timeline.
    """

    def __init__(self, call_coordinator, network, send_call, events):
        self.call_coordinator = call_coordinator
        self._network = network
        self._send_call = send_call
        self._events = events
        self._future_by_call_id = {}
        self._tasks = set()

    async def call(self, call, wait_ms):
        """Run a call of a caller of this node and return its `CallerReply`.

        Parameters
        ----------
        call : TicketedCall
            The call.
        wait_ms : int
            Longest wait in ms for the answer of another node.
        """
        call_id = os.urandom(CALL_ID_BYTES)
        future = asyncio.get_running_loop().create_future()
        self._future_by_call_id[call_id] = future
        try:
            self.perform_actions(self.call_coordinator.submit(call_id, call, wait_ms))
            return await future
        finally:
            del self._future_by_call_id[call_id]

    def handle_message(self, peer, message):
        """Handle a message of another node.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            A message of `peridotcove.nodes.ticketed_call_messages`.
        """
        self._events.record_received(peer, message)
        self.perform_actions(self.call_coordinator.handle_message(peer, message))

    def tick(self):
        """Resend messages and expire calls and tickets; called a few times a second."""
        self.perform_actions(self.call_coordinator.tick())

    def perform_actions(self, actions):
        """Perform actions.

        Messages to unreachable nodes are dropped; the coordinator resends them.

        Parameters
        ----------
        actions : list of StartCall, CallerReply or Outgoing
            Actions that `TicketedCallCoordinator` returned.
        """
        for action in actions:
            if isinstance(action, OutgoingMessage):
                self._events.record_sent(action.peer, action.message)
                with contextlib.suppress(LinkDown):
                    self._network.send(action.peer, action.message)
            elif isinstance(action, StartCall):
                self._events.record_start(action.call)
                task = asyncio.create_task(self._run_call(action.call))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            else:
                self._resolve_reply(action)

    def _resolve_reply(self, reply):
        future = self._future_by_call_id.get(reply.call_id)
        if future is not None and not future.done():
            future.set_result(reply)

    async def _run_call(self, call):
        answer, code = INTERNAL_FAILURE, "internal"
        try:
            answer, code = await self._send_call(call), ""
        except RequestError as error:
            answer, code = Answer(error.verdict, error.status), error.code
        except Exception:
            log.exception("once: internal error in a call to service %s", call.service)
        finally:
            self.perform_actions(self.call_coordinator.finish(call, answer, code))
