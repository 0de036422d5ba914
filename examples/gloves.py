"""Glove maker: three availability zones, nine engines, one plain service.

Prints the configuration: ``python -m examples.gloves [PREVIOUS]``.
"""

import sys

import peridotcove

ZONES = ("a", "b", "c")
ASSISTANT = "letters"
LARGE = ("archives", "museums")
SMALL = ("studios", "labs", "libraries", "parishes", "dealers", "schools", "staff")


def describe(previous=None):
    """Return the description of the deployment.

    Parameters
    ----------
    previous : str, dict or None
        Configuration in force, if any; the description gets the next revision if it
        differs.
    """
    fleet = peridotcove.describe(previous, keep=False)
    fleet.bounds(load_bound=1.25, queue_ms=10_000, block_chars=512)
    for zone in ZONES:
        fleet.zone(zone, region="valley")
    fleet.model(ASSISTANT, version="1", adapters=("certificates",))
    for index in range(9):
        url = f"http://10.2.0.{index + 1}:8000"
        zone = ZONES[index % len(ZONES)]
        fleet.engine(
            f"engine-{index + 1}", url, zone, ASSISTANT, cache_tokens=2_000_000
        )
    _describe_orders(fleet)
    for name in LARGE:
        key = f"example-key-of-{name}"
        fleet.customer(name, keys=[key], requests_per_second=30, weight=2)
    for name in SMALL:
        fleet.customer(name, keys=[f"example-key-of-{name}"], requests_per_second=5)
    fleet.customer("ledger", keys=["example-key-of-ledger"], priority=5)
    return fleet


def _describe_orders(fleet):
    orders = fleet.service("orders", checks_keys=True)
    for index, zone in enumerate(ZONES):
        orders.endpoint(f"orders-{index + 1}", f"http://10.2.1.{index + 1}:8080", zone)
    orders.repeat("/stock", methods=["GET"])
    orders.once("/dispatches")


if __name__ == "__main__":
    print(describe(*sys.argv[1:2]), end="")
