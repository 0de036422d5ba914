"""Reads the states of engines and sends orders to them over HTTP."""

import asyncio
import json
import logging

from peridotcove.endpoints.service_client import HttpCall
from peridotcove.engine_orders import EngineState, Order
from peridotcove.exceptions import RequestError, RequestRefused
from peridotcove.json_values import decode_json

ORDER_TIMEOUT_MS = 5_000
ORDERS_PATH = "/orders"
CONFLICT_STATUS = 409

log = logging.getLogger("peridotcove.orders")


class OrderClient:
    """Sends the requests that an `OrderIssuer` decides on.

    Parameters
    ----------
    issuer : OrderIssuer
        Decides on reads and orders.
    client : ServiceClient
        HTTP client; each order is sent on a new connection.
    """

    def __init__(self, issuer, client):
        self.issuer = issuer
        self._client = client
        self._tasks = set()

    def tick(self, engine_by_name):
        """Start the reads that are due; call it a few times a second.

        Parameters
        ----------
        engine_by_name : dict of Engine
            Engines of the configuration, by name.
        """
        for read in self.issuer.tick():
            job = self._read_and_order(read, engine_by_name[read.engine].url)
            task = asyncio.create_task(job)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _read_and_order(self, read, url):
        state = await self._read_state(read, url)
        for command in self.issuer.handle_state(read.engine, state):
            accepted = await self._send_order(command, url)
            self.issuer.handle_result(command.engine, accepted)

    async def _read_state(self, read, url):
        try:
            response = await self._client.call(
                url, HttpCall("GET", ORDERS_PATH), ORDER_TIMEOUT_MS, False
            )
            return parse_state(decode_json(response.body))
        except (RequestError, ValueError, KeyError, TypeError) as error:
            log.info("orders: reading the state of %s failed: %s", read.engine, error)
            return None

    async def _send_order(self, command, url):
        def check_current():
            if not self.issuer.may_send(command):
                raise RequestRefused(
                    "late-order", "a newer decision has replaced the order"
                )

        headers = (("Content-Type", "application/json"),)
        call = HttpCall("POST", ORDERS_PATH, headers, encode_order(command.order))
        try:
            response = await self._client.call(
                url, call, ORDER_TIMEOUT_MS, False, check_current
            )
        except RequestError as error:
            log.info("orders: sending an order to %s failed: %s", command.engine, error)
            return None
        if response.status == CONFLICT_STATUS:
            log.warning(
                "orders: %s refused the order: it already has a newer one",
                command.engine,
            )
            return False
        return True if response.status == 200 else None


def parse_state(raw):
    """Return the state that an engine reported.

    Parameters
    ----------
    raw : dict
        JSON object of the response.

    Raises
    ------
    KeyError, TypeError, ValueError
        If the object is not a valid state.
    """
    order = Order(
        int(raw["fence"]),
        str(raw["model"]),
        str(raw["version"]),
        tuple(str(name) for name in raw["adapters"]),
        str(raw["role"]),
    )
    return EngineState(order, bool(raw.get("loading", False)))


def encode_order(order):
    """Return the JSON body of an order.

    Parameters
    ----------
    order : Order
        The order.
    """
    fields = {
        "fence": order.fence,
        "model": order.model,
        "version": order.version,
        "adapters": list(order.adapters),
        "role": order.role,
    }
    return json.dumps(fields).encode()
