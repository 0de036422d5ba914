"""Reads engines' states and sends them orders, over HTTP."""

import asyncio
import json
import logging

from peridotcove.endpoints.service_client import HttpCall
from peridotcove.engine_orders import EngineState, Order
from peridotcove.exceptions import RequestError, RequestRefused

ORDER_MS = 5_000
PATH = "/orders"
CONFLICT = 409

log = logging.getLogger("peridotcove.orders")


class OrderClient:
    """Carries out what an `OrderIssuer` decides.

    Parameters
    ----------
    issuer : OrderIssuer
        The decisions.
    client : ServiceClient
        HTTP client whose connections are used once.
    """

    def __init__(self, issuer, client):
        self.issuer = issuer
        self._client = client
        self._tasks = set()

    def tick(self, engine_by_name):
        """Begin the reads that are due; call it a few times a second.

        Parameters
        ----------
        engine_by_name : dict of Engine
            The described engines.
        """
        for read in self.issuer.tick():
            job = self._visit(read, engine_by_name[read.engine].url)
            task = asyncio.create_task(job)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _visit(self, read, url):
        state = await self._read(read, url)
        for item in self.issuer.handle_state(read.engine, state):
            accepted = await self._send(item, url)
            self.issuer.handle_result(item.engine, accepted)

    async def _read(self, read, url):
        try:
            answer = await self._client.call(
                url, HttpCall("GET", PATH), ORDER_MS, False
            )
            return parse_state(json.loads(answer.body))
        except (RequestError, ValueError, KeyError, TypeError) as error:
            log.info("orders: %s was not read: %s", read.engine, error)
            return None

    async def _send(self, item, url):
        def check():
            if not self.issuer.may_send(item):
                raise RequestRefused("late-order", "the order is no longer current")

        headers = (("Content-Type", "application/json"),)
        call = HttpCall("POST", PATH, headers, render_order(item.order))
        try:
            answer = await self._client.call(url, call, ORDER_MS, False, check)
        except RequestError as error:
            log.info("orders: %s was not ordered: %s", item.engine, error)
            return None
        if answer.status == CONFLICT:
            log.warning("orders: %s knows a newer order", item.engine)
            return False
        return True if answer.status == 200 else None


def parse_state(raw):
    """Return the state in an engine's answer.

    Parameters
    ----------
    raw : dict
        The JSON value.

    Raises
    ------
    KeyError, TypeError, ValueError
        If it is no state.
    """
    order = Order(
        int(raw["fence"]),
        str(raw["model"]),
        str(raw["version"]),
        tuple(str(name) for name in raw["adapters"]),
        str(raw["role"]),
    )
    return EngineState(order, bool(raw.get("loading", False)))


def render_order(order):
    """Return the JSON body of an order.

    Parameters
    ----------
    order : Order
        The order.
    """
    value = {
        "fence": order.fence,
        "model": order.model,
        "version": order.version,
        "adapters": list(order.adapters),
        "role": order.role,
    }
    return json.dumps(value).encode()
