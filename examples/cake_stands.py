"""Cake-stand rental: four availability zones, six engines, one plain service.

Prints the configuration: ``python -m examples.cake_stands [PREVIOUS]``.
"""

import sys

import peridotcove

ZONES = ("north", "south", "east", "west")
ASSISTANT = "assistant"
LARGE = ("weddings", "hotels")
SMALL = ("bakers", "chefs", "halls", "florists", "fairs", "schools", "clubs", "guests")


def describe(previous=None):
    """Return the description of the deployment.

    Parameters
    ----------
    previous : str, dict or None
        Configuration in force, if any; the description gets the next revision if it
        differs.
    """
    fleet = peridotcove.describe(previous, keep=False)
    fleet.bounds(load_bound=1.25, queue_ms=5_000)
    for zone in ZONES:
        fleet.zone(zone, region="towns")
    fleet.model(ASSISTANT, version="3", adapters=("quotes", "events"))
    for index in range(6):
        url = f"http://10.1.0.{index + 1}:8000"
        zone = ZONES[index % len(ZONES)]
        fleet.engine(f"engine-{index + 1}", url, zone, ASSISTANT, capacity=32)
    fleet.order_engine(
        "engine-7", "http://10.1.0.7:8000", "east", ASSISTANT, checks_fencing=False
    )
    _describe_booking(fleet)
    for name in LARGE:
        key = f"example-key-of-{name}"
        fleet.customer(name, keys=[key], requests_per_second=40, concurrency=60)
    for name in SMALL:
        key = f"example-key-of-{name}"
        fleet.customer(name, keys=[key], requests_per_second=5, concurrency=10)
    return fleet


def _describe_booking(fleet):
    booking = fleet.service("booking")
    for index, zone in enumerate(ZONES):
        booking.endpoint(
            f"booking-{index + 1}", f"http://10.1.1.{index + 1}:8080", zone
        )
    booking.repeat("/availability")
    booking.repeat("/stock", methods=["GET"])
    booking.once("/reservations", methods=["POST", "PUT", "DELETE"])


if __name__ == "__main__":
    print(describe(*sys.argv[1:2]), end="")
