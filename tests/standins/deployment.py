"""The simulated deployment: zones, teams, machine types and limits."""

from __future__ import annotations

import json
from typing import Any

from dapplewick import config

ZONES = ["a", "b"]
WORKERS = {
    "report_s": 2.0,
    "lease_s": 14.0,
    "gang_wait_s": 40.0,
    "gang_peer_s": 6.0,
    "cancel_s": 36.0,
}
TYPES = [
    {
        "sku": "c8",
        "cpus": 8.0,
        "accelerators": 0.0,
        "ram_gb": 32.0,
        "local_gb": 50.0,
        "fetch_gb_per_s": 1.0,
        "hourly": 1.0,
        "low_price": 0.4,
        "ready_s": 5,
        "yards": ZONES,
    },
    {
        "sku": "g8",
        "cpus": 16.0,
        "accelerators": 2.0,
        "ram_gb": 64.0,
        "local_gb": 50.0,
        "fetch_gb_per_s": 1.0,
        "hourly": 5.0,
        "low_price": 2.0,
        "ready_s": 8,
        "yards": ZONES,
    },
]
TEAMS: list[dict[str, Any]] = [
    {"name": "red", "cpus": 0.0, "cpus_max": 0.0, "gpus": 2.0, "gpus_max": 5.0},
    {"name": "blue", "cpus": 0.0, "cpus_max": 24.0, "gpus": 0.0, "gpus_max": 0.0},
]


# Limits of the state service after a scenario has lowered them (`state.next` of the settings).
LOWERED_LIMITS = {"value_kb": 1.0, "txn_ops": 4, "write_rps": 60.0}


def deployment(count: int, zones: list[str] = ZONES) -> dict[str, Any]:
    """The deployment section of the settings, which all controllers share."""
    return {
        "count": count,
        "zones": zones,
        "teams": TEAMS,
        "objectives": [],
        "workers": WORKERS,
        "state": {
            "rps": 200.0,
            "write_rps": 80.0,
            "value_kb": 16.0,
            "txn_ops": 12,
            "next": LOWERED_LIMITS,
        },
        "cloud": {"rps": 8.0, "list_lag_s": 4.0},
        "time_bound_ms": 50.0,
    }


def zone_of(name: str, zones: list[str]) -> str:
    """The zone of a controller, from the number in its name."""
    return zones[int(name[1:]) % len(zones)]


def settings(name: str, count: int = 3, zones: list[str] = ZONES, parse: Any = config) -> Any:
    controllers = [f"n{i}" for i in range(count)]
    value = {
        "host_name": name,
        "zone": zone_of(name, zones),
        "client_listen": "127.0.0.1:1",
        "peer_listen": "127.0.0.1:1",
        "peers": [
            {"host_name": n, "zone": "a", "peer_addr": f"127.0.0.1:{100 + int(n[1:])}"}
            for n in controllers
            if n != name
        ],
        "outside": {"cloud": "127.0.0.1:2", "state": "127.0.0.1:3"},
        "deployment": deployment(count, zones),
    }
    return parse.parse(json.dumps(value).encode())
