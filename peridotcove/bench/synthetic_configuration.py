"""Configurations of any size for the measurements."""

import hashlib

REGIONS = 6
ENGINES_A_BLOCK = 250


def sample_configuration(customers, engines, zones=22, models=6):
    """Return the JSON value of a configuration.

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
                "url": f"http://{engine_host(i)}:8000",
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


def engine_host(index):
    """Return an IP number for an engine.

    Parameters
    ----------
    index : int
        Number of the engine.
    """
    return f"10.{index // ENGINES_A_BLOCK}.{index % ENGINES_A_BLOCK}.1"
