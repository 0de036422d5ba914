"""Writes the files of one deployment of the demo into a folder.

Usage: ``python demo/prepare.py DESCRIPTION NODES FOLDER``. Writes the
configuration, the lists of instances, the settings of each node, the caller's plan and
the file ``commands`` with one line for each process: its name, then its arguments.
"""

import json
import os
import pathlib
import secrets
import socket
import sys
from urllib.parse import urlsplit

from peridotcove.configuration import parse_configuration
from peridotcove.json_files import read_json

HOST = "127.0.0.1"
PORT_SHIFTS = (0, 25, 50, 75)
PLATFORM_OFFSET, CALLERS_OFFSET, NODES_OFFSET, OPERATORS_OFFSET = 20, 100, 200, 300
ENGINE_OPTIONS = os.environ.get(
    "ENGINE_OPTIONS",
    "--capacity 32 --token-ms 20 --batch-slowdown 0.01 --prefill-rate 8000"
    " --cache-blocks 1500 --lag 300 --drop 0.02",
)


def is_free(port):
    """Return whether a port of the loopback address is free.

    Parameters
    ----------
    port : int
        The port.
    """
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def list_endpoints(raw):
    """Return every engine and endpoint of a configuration, each a dict with its URL.

    Parameters
    ----------
    raw : dict
        The configuration as JSON.
    """
    endpoints = [
        item
        for service in raw["services"].values()
        for item in service.get("endpoints", [])
    ]
    return list(raw["engines"].values()) + endpoints


def shift_ports(raw, shift):
    """Add an offset to the ports of all engines and endpoints, in place.

    Parameters
    ----------
    raw : dict
        The configuration as JSON.
    shift : int
        Offset to add.
    """
    for item in list_endpoints(raw):
        port = urlsplit(item["url"]).port + shift
        item["url"] = f"http://{HOST}:{port}"


def list_nodes(raw, count, base):
    """Return the nodes with their ports, distributed over the zones.

    Parameters
    ----------
    raw : dict
        The configuration as JSON.
    count : int
        Number of nodes.
    base : int
        First port of the deployment.
    """
    zones = list(raw["zones"])
    return [
        {
            "name": f"node-{i + 1}",
            "zone": zones[i % len(zones)],
            "callers": base + CALLERS_OFFSET + i,
            "nodes": base + NODES_OFFSET + i,
            "operators": base + OPERATORS_OFFSET + i,
        }
        for i in range(count)
    ]


def choose_ports(raw, count):
    """Shift a configuration to free ports and return the base and the nodes.

    Parameters
    ----------
    raw : dict
        The configuration as JSON.
    count : int
        Number of nodes.
    """
    first = min(urlsplit(item["url"]).port for item in list_endpoints(raw)) - 1
    applied_shift = 0
    for shift in PORT_SHIFTS:
        shift_ports(raw, shift - applied_shift)
        applied_shift = shift
        nodes = list_nodes(raw, count, first + shift)
        ports = [urlsplit(item["url"]).port for item in list_endpoints(raw)]
        ports.append(first + shift + PLATFORM_OFFSET)
        for node in nodes:
            ports += [node["callers"], node["nodes"], node["operators"]]
        if all(map(is_free, ports)):
            return first + shift, nodes
    sys.exit(f"no free ports from {first} on; stop the other demo, if one is running")


def make_settings(node, raw, platform_url, secret_file):
    """Return the settings of one node.

    Parameters
    ----------
    node : dict
        Name, zone and ports.
    raw : dict
        The configuration as JSON.
    platform_url : str
        Base URL of the platform stand-in.
    secret_file : str
        File with the shared secret.
    """
    return {
        "node": node["name"],
        "zone": node["zone"],
        "region": raw["zones"][node["zone"]]["region"],
        "callers": {"host": HOST, "port": node["callers"]},
        "nodes": {"host": HOST, "port": node["nodes"]},
        "operators": {"host": HOST, "port": node["operators"]},
        "secret": {"file": secret_file},
        "platform": {"configuration_url": platform_url, "instances_url": platform_url},
        "limits": {"drain_ms": 15_000},
        "log_level": "INFO",
    }


def list_instances(raw, nodes, leaving=(), gone=()):
    """Return the platform's list of instances.

    Parameters
    ----------
    raw : dict
        The configuration as JSON.
    nodes : list of dict
        The nodes.
    leaving, gone : tuple of str
        Names of the nodes that are leaving, and of those not listed.
    """
    rows = []
    for node in nodes:
        if node["name"] not in gone:
            state = "leaving" if node["name"] in leaving else "live"
            rows.append(
                _make_instance(node["name"], "node", node["nodes"], node["zone"], state)
            )
    for name, engine in raw["engines"].items():
        rows.append(
            _make_instance(name, "engine", urlsplit(engine["url"]).port, engine["zone"])
        )
    for service in raw["services"].values():
        for item in service.get("endpoints", []):
            port = urlsplit(item["url"]).port
            rows.append(_make_instance(item["name"], "endpoint", port, item["zone"]))
    return rows


def _make_instance(name, kind, port, zone, state="live"):
    row = {"name": name, "kind": kind, "host": HOST, "port": port}
    return row | {"zone": zone, "state": state}


def make_plan(label, raw, nodes, platform_url):
    """Return the plan of the demo caller.

    Parameters
    ----------
    label : str
        Name of the deployment.
    raw : dict
        The configuration as JSON.
    nodes : list of dict
        The nodes.
    platform_url : str
        Base URL of the platform stand-in.
    """
    (service, service_raw), *_ = raw["services"].items()
    prefix_by_repeatable = {
        route["repeatable"]: route["prefix"] for route in service_raw["routes"]
    }
    weights = {x: item.get("weight", 1) for x, item in raw["customers"].items()}
    return {
        "label": label,
        "model": next(iter(raw["models"])),
        "nodes": [
            {
                "name": node["name"],
                "callers_url": f"http://{HOST}:{node['callers']}",
                "operators_url": f"http://{HOST}:{node['operators']}",
            }
            for node in nodes
        ],
        "platform_url": platform_url,
        "engine_urls": [engine["url"] for engine in raw["engines"].values()],
        "service": service,
        "lookup_path": prefix_by_repeatable[True],
        "booking_path": prefix_by_repeatable[False],
        "service_urls": [item["url"] for item in service_raw.get("endpoints", [])],
        "customers": [
            {"name": name, "key": f"demo-key-{name}", "weight": weight}
            for name, weight in weights.items()
        ],
        "load_bound": raw["bounds"]["load_bound"],
    }


def list_commands(raw, base, nodes, folder):
    """Return one line for each process: its name and its arguments.

    Parameters
    ----------
    raw : dict
        The configuration as JSON.
    base : int
        First port of the deployment.
    nodes : list of dict
        The nodes.
    folder : pathlib.Path
        Folder of the files.
    """
    files = f"--configuration {folder}/configuration.json"
    files += f" --instances {folder}/instances.json"
    lines = [f"platform standin platform --port {base + PLATFORM_OFFSET} {files}"]
    for name, engine in raw["engines"].items():
        port = urlsplit(engine["url"]).port
        options = f"--port {port} --model {engine['model']} {ENGINE_OPTIONS}"
        fencing = "" if engine.get("checks_fencing", True) else " --no-checks-fencing"
        lines.append(f"{name} standin engine {options}{fencing}")
    for service in raw["services"].values():
        for item in service.get("endpoints", []):
            port = urlsplit(item["url"]).port
            lines.append(f"{item['name']} standin service --port {port}")
    lines += [f"{node['name']} node {folder}/{node['name']}.json" for node in nodes]
    return lines


def main(description, count, folder):
    """Write the files of a deployment.

    Parameters
    ----------
    description : str
        File with the configuration.
    count : str
        Number of nodes.
    folder : str
        Folder to write to.
    """
    raw = read_json(description)
    parse_configuration(raw, description)
    folder = pathlib.Path(folder)
    base, nodes = choose_ports(raw, int(count))
    platform_url = f"http://{HOST}:{base + PLATFORM_OFFSET}"
    (folder / "secret").write_text(secrets.token_hex(32))
    names = [node["name"] for node in nodes]
    lists = {
        "instances": list_instances(raw, nodes),
        "killed": list_instances(raw, nodes, gone=names[1:2]),
        "leaving": list_instances(raw, nodes, names[2:3], names[1:2]),
    }
    files = {
        "configuration": raw,
        "plan": make_plan(pathlib.Path(description).stem, raw, nodes, platform_url),
        "instances": lists["instances"],
        "put-killed": {"instances": lists["killed"]},
        "put-leaving": {"instances": lists["leaving"]},
    }
    for node in nodes:
        secret_file = str(folder / "secret")
        files[node["name"]] = make_settings(node, raw, platform_url, secret_file)
    for name, value in files.items():
        (folder / f"{name}.json").write_text(json.dumps(value, indent=1))
    lines = list_commands(raw, base, nodes, folder)
    (folder / "commands").write_text("\n".join(lines) + "\n")
    (folder / "platform-url").write_text(platform_url)


if __name__ == "__main__":
    main(*sys.argv[1:])
