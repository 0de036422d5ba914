"""Synthetic configurations of any size."""

import hashlib

REGIONS = 6
ENGINES_PER_SUBNET = 250


def make_configuration_json(customers, engines, zones=22, models=6):
    """Return a synthetic configuration as a JSON value.

    Parameters
    ----------
    customers, engines, zones, models : int
        How many there are of each.
    """
    return {
        "revision": 1,
        "zones": {
            f"zone-{i}": {"region": f"region-{i % REGIONS}"} for i in range(zones)
        },
        "models": {f"model-{i}": {} for i in range(models)},
        "engines": {
            f"engine-{i}": {
                "url": f"http://{make_engine_address(i)}:8000",
                "zone": f"zone-{i % zones}",
                "model": f"model-{i // zones % models}",
            }
            for i in range(engines)
        },
        "customers": {
            f"customer-{i}": {
                "key_digests": [hashlib.sha256(f"key-{i}".encode()).hexdigest()],
                "requests_per_second": 5.0 + i % 50,
                "concurrency": 8 + i % 20,
            }
            for i in range(customers)
        },
    }


def make_engine_address(index):
    """Return the IP address of an engine.

    Parameters
    ----------
    index : int
        Number of the engine.
    """
    return f"10.{index // ENGINES_PER_SUBNET}.{index % ENGINES_PER_SUBNET}.1"
