"""Runs requests that may not be repeated, at most once each, on the event loop."""

import asyncio
import contextlib
import logging
import os

from peridotcove.exceptions import LinkDown, RequestError
from peridotcove.ledger import Answer
from peridotcove.nodes.network import Outgoing
from peridotcove.ticketed_calls import Start
from peridotcove.verdict import Verdict

log = logging.getLogger("peridotcove.once")

CALL_ID_BYTES = 8
FAILED = Answer(Verdict.MAY_HAVE_RUN, 500)


class TicketedCallExecutor:
    """Carries out what `TicketedCallCoordinator` decides.

    Parameters
    ----------
    delivery : Delivery
        The decisions.
    network : Network
        Links to other nodes.
    run : callable
        Coroutine function that sends a `TicketedCall` to an endpoint, once, and
        returns an `Answer` or raises `RequestError`.
    events : OnceEvents
        Takes what happens to calls.
    """

    def __init__(self, delivery, network, run, events):
        self.call_coordinator = delivery
        self._network = network
        self._run = run
        self._events = events
        self._future_by_call_id = {}
        self._tasks = set()

    async def call(self, call, wait_ms):
        """Return the reply to a caller of this node.

        Parameters
        ----------
        call : TicketedCall
            The call.
        wait_ms : int
            Longest wait in ms for another node.
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
            A message of `peridotcove.nodes.once_messages`.
        """
        self._events.record_received(peer, message)
        self.perform_actions(self.call_coordinator.handle_message(peer, message))

    def tick(self):
        """Handle the passing of time; call it a few times a second."""
        self.perform_actions(self.call_coordinator.tick())

    def perform_actions(self, actions):
        """Carry out decisions.

        Parameters
        ----------
        actions : list of Start, Reply or Outgoing
            What `TicketedCallCoordinator` returned.
        """
        for action in actions:
            if isinstance(action, Outgoing):
                self._events.record_sent(action.peer, action.message)
                with contextlib.suppress(LinkDown):
                    self._network.send(action.peer, action.message)
            elif isinstance(action, Start):
                self._events.record_start(action.call)
                task = asyncio.create_task(self._start(action.call))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            else:
                self._reply(action)

    def _reply(self, reply):
        future = self._future_by_call_id.get(reply.call_id)
        if future is not None and not future.done():
            future.set_result(reply)

    async def _start(self, call):
        answer, code = FAILED, "internal"
        try:
            answer, code = await self._run(call), ""
        except RequestError as error:
            answer, code = Answer(error.verdict, error.status), error.code
        except Exception:
            log.exception("once: a call to %s failed", call.service)
        finally:
            self.perform_actions(self.call_coordinator.finish(call, answer, code))
