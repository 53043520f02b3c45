#!/usr/bin/env python3
"""Writes the node files and the fleet document of the demo into a folder.

Usage: make_settings.py FOLDER
"""
import hashlib
import json
import pathlib
import sys

ZONES = ["a", "b", "c"]
NODES_PER_ZONE = 2
ENGINES_PER_ZONE = 2
FIRST_NODE_PORT = 18000
PORTS_PER_NODE = 10
STORE = "127.0.0.1:19000"
VM_LIST = "127.0.0.1:19001"
WEIGHT_STORE = "127.0.0.1:19002"


def hash_token(token, salt="demo"):
    digest = hashlib.sha256(f"{salt}${token}".encode()).hexdigest()
    return f"{salt}${digest}"


def node_names():
    return [f"{zone}{number}" for zone in ZONES for number in range(1, NODES_PER_ZONE + 1)]


def node_file(index, name, folder):
    first = FIRST_NODE_PORT + PORTS_PER_NODE * index
    where = lambda offset: f"127.0.0.1:{first + offset}"
    listen = {"callers": where(0), "gatePeer": where(1), "gateAdmin": where(2), "stewardPeer": where(3), "operators": where(4)}
    settings = {"node": name, "zone": f"zone-{name[0]}", "region": "demo", "listen": listen, "stores": [STORE]}
    seeds = [FIRST_NODE_PORT + PORTS_PER_NODE * other + 3 for other in range(len(node_names())) if other != index]
    settings["seeds"] = [f"127.0.0.1:{port}" for port in seeds[:4]]
    settings["bootstrapOperatorHash"] = hash_token("operator-token")
    if name.endswith("1"):
        listen["spoolPeer"] = where(5)
        listen["spoolAdmin"] = where(6)
        settings["dataFolder"] = str(folder / f"data-{name}")
        settings["dataFolderLimitMiB"] = 64
    return settings


def servers(prefix, first_port, per_zone, **extra):
    result = []
    for index, zone in enumerate(zone for zone in ZONES for _ in range(per_zone)):
        server = {"id": f"{prefix}-{zone}{index % per_zone + 1}", "address": f"127.0.0.1:{first_port + index}", "zone": f"zone-{zone}"}
        server.update(extra)
        result.append(server)
    return result


def fleet_document():
    customers = [{"id": name, "weight": 1, "tokenHashes": [hash_token(f"token-{name}")]} for name in ("trust-a", "trust-b", "printer-a")]
    pools = [
        {"id": "summarizer", "kind": "engine", "defaultDeadlineMs": 20000, "silenceTimeoutMs": 3000,
         "servers": servers("engine", 19010, ENGINES_PER_ZONE, slots=8, checksFencing=True)},
        {"id": "logbook", "kind": "service", "defaultDeadlineMs": 5000, "silenceTimeoutMs": 2000, "servers": servers("logbook", 19020, 1, slots=16)},
        {"id": "proof-desk", "kind": "service", "defaultDeadlineMs": 5000, "silenceTimeoutMs": 2000, "nonIdempotent": ["POST /orders"],
         "servers": servers("proof", 19030, 1, slots=16)},
        {"id": "scorers", "kind": "service", "servers": servers("scorer", 19040, 1, slots=16)},
    ]
    operators = [{"name": "demo", "role": "confirm", "tokenHashes": [hash_token("operator-token")]}]
    return {"customers": customers, "pools": pools, "runs": [], "operators": operators, "vmListAddress": VM_LIST, "weightStoreAddress": WEIGHT_STORE,
            "weightStoreBytesPerSecond": 1e9}


def run_patch():
    run = {"id": "run-1", "customer": "trust-a", "pool": "summarizer", "scorerPool": "scorers", "groups": 4, "groupSize": 4, "stalenessBound": 2,
           "maximumTokens": 64, "idleTimeWeight": 0.3, "prompts": ["summarize the repair of a stove", "summarize the repair of a door"]}
    return {"runs": [run]}


def main():
    folder = pathlib.Path(sys.argv[1])
    for index, name in enumerate(node_names()):
        settings = node_file(index, name, folder)
        if "dataFolder" in settings:
            pathlib.Path(settings["dataFolder"]).mkdir(parents=True, exist_ok=True)
        (folder / f"node-{name}.json").write_text(json.dumps(settings, indent=2))
    (folder / "fleet.json").write_text(json.dumps(fleet_document(), indent=2))
    (folder / "run.json").write_text(json.dumps(run_patch(), indent=2))


if __name__ == "__main__":
    main()
