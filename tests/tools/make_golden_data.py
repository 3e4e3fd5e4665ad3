"""Writes tests/data/golden, the reference data for the formats of stored records and messages.

For each input value the data contains the output that the sources encode from it. For each scenario
it contains a digest and samples of everything that controllers send.

`python tests/tools/make_golden_data.py` overwrites the files. Run it only after an intended change
of what is stored, sent or planned, and state that change in the commit. A rename in the sources
must leave the data unchanged.

`python tests/tools/make_golden_data.py days` prints the output of the scenarios. The iteration
order of sets depends on PYTHONHASHSEED, so this command needs PYTHONHASHSEED=0.
"""

from __future__ import annotations

import json
import logging
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

import standins  # noqa: E402
from support import golden  # noqa: E402
from support.paths import DATA  # noqa: E402

FOLDER = DATA / "golden"

SPEC: dict[str, Any] = {
    "bundle": "x",
    "team": "red",
    "gang": False,
    "rank": 1,
    "tasks": 9,
    "cpus": 2.0,
    "gpus": 0.0,
    "ram": 4.0,
    "image": "img",
    "image_gb": 1.0,
    "estimate": 8.0,
}
FULL_SPEC: dict[str, Any] = SPEC | {
    "types": ["c8", "g8"],
    "zone": "a",
    "one_zone": True,
    "spread": True,
    "spot": True,
    "checkpoint": 5.0,
    "save": 1.5,
    "deadline": 90.0,
}
GANG_SPEC: dict[str, Any] = SPEC | {"gang": True, "tasks": 2}
LONG_GANG_SPEC: dict[str, Any] = SPEC | {"gang": True, "tasks": 12}
SERVICE_SPEC: dict[str, Any] = SPEC | {"rank": 3, "tasks": 2, "estimate": 0.0, "daemon": True}
GANG_PLACEMENTS = [["a", "vm-1"], ["b", "vm-2"]]
LONG_GANG_PLACEMENTS = [["a" if n < 8 else "a/~night", f"vm-{n:06d}"] for n in range(12)]
MACHINE_TYPE = {
    "sku": "c8",
    "cpus": 8.0,
    "accelerators": 0.0,
    "ram_gb": 32.0,
    "fetch_gb_per_s": 1.0,
    "hourly": 1.0,
    "low_price": 0.4,
    "ready_s": 5.0,
    "yards": ["a", "b"],
}
FORMAT_RECORD = ["dw/format", {"version": 3}, 2]


def job(spec: dict[str, Any], stage: str = "open", **fields: Any) -> dict[str, Any]:
    """Build a job record with its fields in the stored order."""
    order = ("done", "grants", "gang", "chunk")
    return {"spec": spec, "stage": stage, "at": 1000.5} | {
        k: fields[k] for k in order if k in fields
    }


def group(machines: dict[str, str], **fields: Any) -> dict[str, Any]:
    """Build a machine group record."""
    return {"type": "c8", "zone": "a", "spot": False, "machines": machines, **fields}


def transfer(state: str, **fields: Any) -> dict[str, Any]:
    """Build a transfer record."""
    return {
        "generation": 3,
        "source": "a",
        "target": "a/~night",
        "type": "c8",
        "count": 4,
        "state": state,
        "at": 1000.0,
        "until": 1300.5,
        **fields,
    }


def long_gang_record(**fields: Any) -> dict[str, Any]:
    """Build the record of a long gang whose placement is stored in separate keys."""
    return job(LONG_GANG_SPEC, is_gang={"attempt": 4194305, "places": [], **fields, "shares": 2})


def placement_chunk(first: int, last: int, attempt: int = 4194305) -> dict[str, Any]:
    """Build one of the separate records, each of which holds a range of a long placement."""
    return {"attempt": attempt, "places": LONG_GANG_PLACEMENTS[first:last]}


def records() -> dict[str, Any]:
    """Return the stored keys of each kind of record, by label.

    The keys of one label are read together. Each entry is a key, a value and a version.
    """
    done, assignments = "0-3,7", {"a": "4-6", "a/~night": "8"}
    chunks = [
        ["dw/j/run-1", job(SPEC | {"tasks": 400}, chunk=200), 5],
        ["dw/d/run-1/0", {"done": "0-9", "grants": {"a": "10-19", "b": "20"}}, 6],
        ["dw/d/run-1/1", {"grants": {"b": "200-399"}}, 7],
    ]
    single_records: dict[str, tuple[str, Any]] = {
        "array as it came": ("dw/j/run-1", job(SPEC)),
        "array with all that can be asked": ("dw/j/run-1", job(FULL_SPEC)),
        "array with done and granted tasks": (
            "dw/j/run-1",
            job(SPEC, done=done, assignments=assignments),
        ),
        "array that is done": ("dw/j/run-1", job(SPEC, "done", assignments={"b": "8"})),
        "array that is cancelled": ("dw/j/run-1", job(SPEC, "cancelled", assignments=assignments)),
        "gang as it came": ("dw/j/run-1", job(GANG_SPEC)),
        "gang with a place": (
            "dw/j/run-1",
            job(GANG_SPEC, is_gang={"attempt": 7, "places": GANG_PLACEMENTS}),
        ),
        "gang that preempts": (
            "dw/j/run-1",
            job(GANG_SPEC, is_gang={"attempt": 7, "places": GANG_PLACEMENTS, "preempt": True}),
        ),
        "gang that is cancelled": (
            "dw/j/run-1",
            job(
                GANG_SPEC,
                "cancelled",
                is_gang={"attempt": 7, "places": GANG_PLACEMENTS, "over": True},
            ),
        ),
        "gang that is done": (
            "dw/j/run-1",
            job(GANG_SPEC, "done", is_gang={"attempt": 7, "places": GANG_PLACEMENTS, "over": True}),
        ),
        "service": ("dw/j/run-1", job(SERVICE_SPEC, assignments={"a": "0", "b": "1"})),
        "service that is cancelled": (
            "dw/j/run-1",
            job(SERVICE_SPEC, "cancelled", assignments={"a": "0"}),
        ),
        "array of many tasks that is cancelled": (
            "dw/j/run-1",
            job(SPEC | {"tasks": 400}, "cancelled", chunk=200),
        ),
        "group of machines": ("dw/m/r-1", group({"vm-1": "u", "vm-2": "b1700", "vm-3": "d"})),
        "group of a share": (
            "dw/m/r-1",
            group({"vm-1": "u", "vm-2": "d"}, share="night", floors={"vm-1": 9}),
        ),
        "part": ("dw/p/a", {"owner": "n0", "boot": "n0-1"}),
        "part of a share": ("dw/p/a/~night", {"owner": "n0", "boot": "n0-1"}),
        "controller of format 2": ("dw/n/n0", {"boot": "n0-1", "zone": "a", "version": 2}),
        "controller of format 3": ("dw/n/n0", {"boot": "n0-1", "zone": "a", "version": 3}),
        "controller of format 4": ("dw/n/n0", {"boot": "n0-1", "zone": "a", "version": 4}),
        "leader": ("dw/leader", {"node": "n0", "boot": "n0-1"}),
        "booking": (
            "dw/b/r-4-1",
            {
                "type": "c8",
                "zone": "a",
                "spot": True,
                "count": 3,
                "at": 1000.25,
            },
        ),
        "format 2": ("dw/format", {"version": 2}),
        "format 3": ("dw/format", {"version": 3}),
        "format 4": ("dw/format", {"version": 4}),
        "types": ("dw/types", [MACHINE_TYPE, MACHINE_TYPE | {"sku": "g8", "accelerators": 2.0}]),
        "type": ("dw/t/c8", MACHINE_TYPE),
        "plan of shares": (
            "dw/shares",
            {
                "shares": {
                    "night": {
                        "teams": ["red"],
                        "rules": [
                            {
                                "types": ["c8"],
                                "least": 0.25,
                                "most": 0.5,
                                "zones": ["a"],
                                "hours": ["03:30", "05:00"],
                            }
                        ],
                        "weight": 2.0,
                    }
                },
                "margin": 0.2,
                "move_within_s": 40.0,
                "hold_orders_s": 600.0,
            },
        ),
    }
    for state in ("requested", "draining", "complete", "cancelled", "overdue"):
        fields = {"moved": 1, "draining": ["vm-1", "vm-2"], "origin": "operator"}
        single_records[f"transfer {state}"] = "dw/s/o-000000f1", transfer(state, **fields)
    single_records["transfer of the plan"] = "dw/s/p-3", transfer("requested")
    out: dict[str, Any] = {
        label: [[key, value, 5]] for label, (key, value) in single_records.items()
    }
    out["array in chunks"] = chunks
    out["gang with a long place"] = [
        ["dw/j/run-1", long_gang_record(), 5],
        ["dw/g/run-1/0", placement_chunk(0, 7), 6],
        ["dw/g/run-1/1", placement_chunk(7, 12), 7],
    ]
    return out


def irregular_records() -> dict[str, Any]:
    """Return records that the reader completes with defaults, or of which it ignores a part."""
    return {
        "controller that says nothing of its format": [["dw/n/n0", {"boot": "b", "zone": "a"}, 5]],
        "type with nothing but its name": [["dw/t/c8", {"sku": "c8"}, 5]],
        "record with a field that nobody knows": [
            ["dw/p/a", {"owner": "n0", "boot": "n0-1", "later": 1}, 5]
        ],
        "place of another attempt": [
            ["dw/j/run-1", long_gang_record(over=True), 5],
            ["dw/g/run-1/0", placement_chunk(0, 7), 6],
            ["dw/g/run-1/1", placement_chunk(7, 12, 9), 7],
        ],
    }


def job_writes() -> dict[str, dict[str, Any]]:
    """Return job and machine changes that write several keys, by kind and label."""
    array, long = (
        SPEC | {"tasks": 400},
        job(LONG_GANG_SPEC, is_gang={"attempt": 7, "places": LONG_GANG_PLACEMENTS}),
    )
    fragmented = {"a": ",".join(str(n) for n in range(0, 400, 2))}
    return {
        "places": {
            "long": {
                "records": [FORMAT_RECORD, ["dw/j/run-1", long, 5]],
                "job": "run-1",
                "most": 300,
            },
            "short": {
                "records": [FORMAT_RECORD, ["dw/j/run-1", long, 5]],
                "job": "run-1",
                "most": 5000,
            },
        },
        "grants": {
            "one key": {
                "records": [FORMAT_RECORD, ["dw/j/run-1", job(SPEC), 5]],
                "job": "run-1",
                "most": 900,
                "part": "a",
                "tasks": [1, 2, 5],
            },
            "chunks": {
                "records": [FORMAT_RECORD, *records()["array in chunks"]],
                "job": "run-1",
                "most": 900,
                "part": "a",
                "tasks": [30, 31, 250],
            },
        },
        "cut": {
            "array": {
                "records": [
                    FORMAT_RECORD,
                    ["dw/j/run-1", job(array, done="0-5", assignments={"a": "9"}), 5],
                ],
                "job": "run-1",
                "most": 900,
            },
            "array of which all chunks are there": {
                "records": [FORMAT_RECORD, ["dw/j/run-1", job(array), 5]],
                "job": "run-1",
                "most": 900,
            },
        },
        "leftovers": {
            "all": {
                "records": [
                    FORMAT_RECORD,
                    ["dw/j/run-1", job(array, "done", chunk=200), 5],
                    ["dw/d/run-1/1", {"done": "200-399"}, 6],
                    ["dw/j/run-2", job(LONG_GANG_SPEC), 7],
                    ["dw/g/run-2/0", placement_chunk(0, 7), 8],
                ],
                "job": "run-1",
                "most": 900,
            },
        },
        "widened": {
            "array": {
                "records": [
                    FORMAT_RECORD,
                    ["dw/j/run-1", job(array, "cancelled", assignments=fragmented), 5],
                ],
                "job": "run-1",
                "most": 500,
            },
        },
        "machines": {
            "doomed": {
                "records": [FORMAT_RECORD, ["dw/m/r-1", group({"vm-1": "u", "vm-2": "b1700"}), 5]],
                "doom": "vm-1",
            },
            "to a new group of a share": {
                "records": [FORMAT_RECORD, ["dw/m/r-1", group({"vm-1": "u", "vm-2": "b1700"}), 5]],
                "floors": [["vm-1", 12]],
                "share": "night",
            },
            "back from a share": {
                "records": [
                    FORMAT_RECORD,
                    ["dw/m/r-1", group({"vm-1": "u"}), 5],
                    ["dw/m/r-2", group({"vm-2": "u"}, share="night", floors={"vm-2": 9}), 6],
                ],
                "floors": [["vm-2", 13]],
                "share": "",
            },
        },
    }


SHARD_OWNER_RECORDS: list[list[Any]] = [
    ["dw/format", {"version": 4}, 2],
    ["dw/leader", {"node": "n1", "boot": "n1-1"}, 3],
    ["dw/types", [MACHINE_TYPE], 4],
    ["dw/n/n0", {"boot": "n0-1", "zone": "a", "version": 4}, 5],
    ["dw/n/n1", {"boot": "n1-1", "zone": "b", "version": 4}, 6],
    ["dw/p/a", {"owner": "n0", "boot": "n0-1"}, 7],
    ["dw/p/b", {"owner": "n1", "boot": "n1-1"}, 8],
    ["dw/m/r-1", group({f"vm-{n}": "u" for n in range(1, 5)}), 9],
    ["dw/m/r-2", group({"vm-9": "u", "vm-10": "b990", "vm-11": "u"}, zone="b"), 10],
    ["dw/j/run-1", job(SPEC, assignments={"a": "0-2", "b": "3-5"}), 11],
    [
        "dw/j/run-2",
        job(GANG_SPEC, is_gang={"attempt": 7, "places": [["a", "vm-2"], ["a", "vm-3"]]}),
        12,
    ],
    ["dw/j/run-3", job(SERVICE_SPEC, assignments={"a": "0-1"}), 13],
    ["dw/j/run-4", job(SPEC, "cancelled", assignments={"a": "0", "b": "1"}), 14],
    ["dw/j/run-5", job(SPEC, "done"), 15],
    ["dw/s/o-000000f1", transfer("draining", count=1, draining=["vm-4"]), 16],
    ["dw/b/r-4-1", {"type": "c8", "zone": "a", "spot": False, "count": 2, "at": 1000.0}, 17],
]


def heartbeat(
    machine: str, sequence: int, pieces: list[dict[str, Any]], **fields: Any
) -> dict[str, Any]:
    """Build a worker's heartbeat."""
    return {
        "loom": machine,
        "endpoint": "10.0.0.1:9",
        "build": "c8",
        "yard": "a",
        "borrowed": False,
        "shift": 1,
        "tally": sequence,
        "baton": 7,
        "recall_s": None,
        "pieces": pieces,
        **fields,
    }


BUSY_MACHINE: dict[str, Any] = {
    "free": [2.0, 0.0, 4.0],
    "ends": [[1003.5, 2.0, 0.0, 4.0, 1, ""]],
    "images": ["img"],
    "queued": 1,
    "usable": True,
    "heard": True,
    "leaving": False,
    "faulty": False,
}
IDLE_MACHINE = BUSY_MACHINE | {"free": [8.0, 0.0, 32.0], "ends": [], "queued": 0}


def shard_status(**fields: Any) -> dict[str, Any]:
    """Build a shard status as a controller of the current version sends it."""
    one = {"placed": 2, "running": 1, "done": [0, 3], "returned": [4], "version": 11}
    return {
        "kind": "part",
        "zone": "b",
        "token": 8,
        "number": 3,
        "base": 0,
        "at": 990.5,
        "seen": 17,
        "machines": {
            "vm-9": BUSY_MACHINE,
            "vm-8": None,
            "vm-10": BUSY_MACHINE,
            "vm-11": BUSY_MACHINE,
        },
        "jobs": {"run-1": one, "run-6": None},
        "gangs": {"run-2": [7, "held", 3.0], "run-6": None},
        "silent": {"vm-9": [6.5, True]},
        "idle": {"vm-9": 2.5},
        "heard_ago": 0.5,
        "clear": ["run-4"],
        "unheard": 2,
        "estimates": {"x": [0.25, 3]},
        "drained": ["vm-9"],
        "node": "n1",
        "version": 3,
        **fields,
    }


def gossip(**fields: Any) -> dict[str, Any]:
    """Build the message in which a controller reports its own state to its peers."""
    return {
        "kind": "node",
        "node": "n1",
        "version": 3,
        "running": {"run-1": 2},
        "parts": {"a": [7, "n0"], "b": [9, "n2"]},
        "state": True,
        "at": 995.5,
        "boot": "n1-1",
        "revision": 17,
        "heard": {"n0": ["1-2265b1f5", 999.5]},
        "complete": True,
        "since": 16,
        "cancelled": [[18, "run-1"]],
        **fields,
    }


def messages() -> dict[str, Any]:
    """Return sequences of messages between controllers, by label."""
    old = {k: v for k, v in gossip().items() if k not in ("heard", "complete", "cancelled")}
    next_ = shard_status(number=4, base=3, machines={"vm-9": None}, jobs={}, gangs={})
    have = {
        "kind": "have",
        "zone": "a",
        "token": 7,
        "boot": "n1-1",
        "number": 5,
        "version": 3,
    }
    part_a: dict[str, Any] = {"zone": "a", "token": 7, "machines": {}, "silent": {}, "idle": {}}
    gang_in_a = {"attempt": 7, "places": [["a", "vm-2"], ["a", "vm-3"]]}
    cases: dict[str, Any] = {
        "of itself": {"messages": [gossip()]},
        "of itself, without what it knows of cancellations": {"messages": [old]},
        "of itself, twice": {"messages": [gossip(), gossip(at=996.5, state=False, running={})]},
        "of all peers": {"messages": [gossip(), gossip(controller="n2", incarnation="n2-1")]},
        "status of a part": {"messages": [shard_status()], "leads": True},
        "status of a part, followed by what changed": {
            "messages": [shard_status(), next_],
            "leads": True,
        },
        "status of a part with machines that have to go": {
            "messages": [
                shard_status(
                    silent={"vm-11": [99.5, False]},
                    machines={
                        "vm-9": BUSY_MACHINE | {"faulty": True},
                        "vm-10": BUSY_MACHINE | {"heard": False, "usable": False},
                        "vm-11": BUSY_MACHINE,
                    },
                )
            ],
            "leads": True,
        },
        "status of a part with idle machines": {
            "messages": [
                shard_status(
                    idle={"vm-9": 900.0, "vm-11": 1.5},
                    silent={},
                    machines={
                        "vm-9": IDLE_MACHINE,
                        "vm-11": IDLE_MACHINE | {"leaving": True},
                    },
                )
            ],
            "leads": True,
        },
        "status of a part under another token": {
            "messages": [shard_status(token=1)],
            "leads": True,
        },
        "status of a part of a deaf owner": {
            "messages": [shard_status(heard_ago=60.0)],
            "leads": True,
        },
        "what the leader has": {"messages": [have]},
        "status of a gang that is clear": {
            "records": [
                *SHARD_OWNER_RECORDS,
                ["dw/j/run-2", job(GANG_SPEC, is_gang={**gang_in_a, "over": True}), 12],
            ],
            "messages": [shard_status(**part_a, gangs={"run-2": [7, "clear", 0.0]})],
            "leads": True,
        },
        "an operator's question": {"messages": [{"kind": "status"}]},
        "of a kind that nobody knows": {"messages": [{"kind": "later"}]},
    }
    for state in ("bad", "done", "held", "on", "busy"):
        cases[f"status of a gang that is {state}"] = {
            "messages": [shard_status(**part_a, gangs={"run-2": [7, state, 3.0]})],
            "leads": True,
        }
    return {label: {"records": SHARD_OWNER_RECORDS, **given} for label, given in cases.items()}


def shard_owner_steps() -> dict[str, Any]:
    """Return sequences of messages and requests that a shard owner receives, by label."""
    running = {"piece": "run-1/0", "try": 7340033, "stage": "running"}
    exited = {"piece": "run-1/1", "try": 5, "stage": "exited", "cause": "done", "saved": True}
    cancelled_task = {"piece": "run-4/0", "try": 6, "stage": "running"}
    first_heartbeats = [
        ["report", heartbeat(f"vm-{n}", 1, pieces)]
        for n, pieces in ((1, [running, exited, cancelled_task]), (2, []), (3, []), (4, []))
    ]
    second_heartbeats = [
        ["report", heartbeat(f"vm-{n}", 2, [], recall_s=30.0 if n == 3 else None)] for n in (2, 3)
    ]
    forwarded_request = {
        "kind": "ask",
        "method": "GET",
        "target": "/v2/runs/run-5",
        "body": b"".hex(),
    }
    steps: dict[str, list[Any]] = {
        "status before anything was heard": [["tick", None]],
        "reports": [*first_heartbeats, ["tick", None]],
        "reports and more": [
            *first_heartbeats,
            ["tick", None],
            ["wait", 1.0],
            *second_heartbeats,
            ["tick", None],
            ["wait", 6.0],
            ["tick", None],
        ],
        "reports to others": [
            ["report", heartbeat("vm-9", 1, [], yard="b")],
            ["report", heartbeat("vm-8", 1, [])],
            ["report", {"loom": "vm-1"}],
            ["report", heartbeat("vm-7", 1, [], yard="c")],
        ],
        "reports that are refused": [
            ["too large", None],
            ["records are old", None],
            ["report", heartbeat("vm-1", 1, [])],
        ],
        "users of a controller that falls behind": [
            ["falls behind", None],
            ["request", ["GET", "/v2/runs/run-5", ""]],
            ["request", ["GET", "/healthz", ""]],
        ],
        "status for operators": [*first_heartbeats, ["asked", {"kind": "status"}]],
        "shares that are switched off": [["asked", {"kind": "shares", "verb": "show"}]],
        "a question of a peer": [
            ["asked", forwarded_request | {"body": ""}],
            ["asked", forwarded_request | {"target": "/v2/none", "body": ""}],
        ],
        "users": [
            ["request", ["GET", "/v2/runs/run-4", ""]],
            ["request", ["GET", "/v2/runs/run-5", ""]],
            ["request", ["POST", "/v2/runs", "[]"]],
            ["request", ["PUT", "/v2/runs", ""]],
            ["request", ["GET", "/v2/runs/run-5/none", ""]],
            ["request", ["GET", "/none", ""]],
            ["request", ["GET", "/healthz", ""]],
            ["request", ["GET", "/checkin", ""]],
        ],
    }
    for _, message in steps["a question of a peer"]:
        message["body"] = []
    return {
        label: {"records": SHARD_OWNER_RECORDS, "steps": step_list}
        for label, step_list in steps.items()
    }


def state_calls() -> dict[str, Any]:
    """Return calls of the state service with each kind of response, by label."""
    item = '{"key": "dw/j/run-1", "data": {"x": [1]}, "stamp": 5}'
    page = '{"items": [%s], "more": true, "ledger": 9}'
    last_page = '{"items": [{"key": "dw/z", "stamp": 8}], "more": false, "ledger": 11}'
    events = (
        '{"ledger": 9, "events": [{"write": "dw/a", "data": 1, "stamp": 8},'
        ' {"remove": "dw/b", "stamp": 9}]}'
    )
    write = [{"dw/a": 3, "dw/b": 0}, {"dw/a": {"x": 1}, "dw/c": []}, ["dw/b"], {"dw/a": 7}]
    cases: dict[str, list[Any]] = {
        "one": [["one", ["dw/j/run-1"]], [200, item]],
        "one that is not there": [["one", ["dw/none"]], [404, '{"ledger": 9}']],
        "one, refused": [["one", ["dw/none"]], [503, "{}"]],
        "one, malformed": [["one", ["dw/none"]], [200, "{"]],
        "all": [["all", ["dw/"]], [200, page % item], [200, last_page]],
        "all, an empty page": [["all", ["dw/"]], [200, page % ""]],
        "changes": [["changes", ["dw/", 7, 4000]], [200, events]],
        "changes, too old": [["changes", ["dw/", 7, 0]], [410, "{}"]],
        "changes, older": [["changes", ["dw/", 10, 0]], [200, events]],
        "transaction": [["transaction", write], [200, '{"ledger": 12}']],
        "transaction, only conditions": [["transaction", [{"dw/a": 3}, {}]], [200, "{}"]],
        "transaction, conflict": [
            ["transaction", write],
            [409, '{"failed": ["dw/a", "dw/b"], "ledger": 12}'],
        ],
        "transaction, no lease": [
            ["transaction", write],
            [400, '{"error": "no such lease"}'],
        ],
        "transaction, too large": [["transaction", write], [400, '{"error": "too large"}']],
        "transaction, too many": [["transaction", write], [429, "{}"]],
        "transaction, another trouble": [["transaction", write], [500, "{}"]],
        "lease": [["lease", [5000]], [200, '{"hold": 17}']],
        "renewal": [["renewal", [17]], [200, "{}"]],
        "renewal, ended": [["renewal", [17]], [404, "{}"]],
    }
    return {
        label: {"call": call, "arguments": arguments, "answers": answers}
        for label, ((call, arguments), *answers) in cases.items()
    }


def grouped_writes() -> dict[str, Any]:
    """Return lists of writes with their transaction groups: key, value and group of each."""

    def writes_of_groups(group_names: str) -> dict[str, Any]:
        return {
            "changes": [
                [f"dw/{n}", "x", group_name.strip(".")] for n, group_name in enumerate(group_names)
            ]
        }

    large = [["dw/0", "x" * 5000, ""], ["dw/1", "x", "a"], ["dw/2", "x" * 5000, "a"]]
    return {
        "loose": writes_of_groups("......"),
        "tied": writes_of_groups("..aaa.bb"),
        "too many": writes_of_groups("aaaaaaaaaaaaaaaaaaa."),
        "too large": {"changes": [*large, ["dw/3", "x", ""]]},
    }


def operator_scripts() -> dict[str, Any]:
    """Return operators' configuration scripts, by label."""
    names = (
        "threshold_s",
        "patience_s",
        "horizon_s",
        "horizon_accelerator_s",
        "spare_slots",
        "idle_s",
        "spend_cap",
    )
    lines = [f"{name} = {number + 2}" for number, name in enumerate(names)]
    return {"empty": "", "all": "\n".join([*lines, "class_weights = {'x': 4}", ""])}


def platform_settings() -> dict[str, Any]:
    """Return the settings file of the platform, by label."""
    deployment = standins.deployment(2) | {
        "objectives": [{"class": "x", "kind": "finished", "within_s": 60.0, "share": 0.9}],
    }
    return {
        "all": {
            "host_name": "n0",
            "zone": "a",
            "client_listen": "127.0.0.1:1",
            "peer_listen": "127.0.0.1:2",
            "deployment": deployment,
            "peers": [{"host_name": "n1", "zone": "b", "peer_addr": "127.0.0.1:3"}],
            "outside": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        }
    }


def cloud_calls() -> dict[str, Any]:
    """Return calls of the cloud service with each kind of response, by label."""
    listed = {
        "name_id": "vm-1",
        "build": "c8",
        "yard": "a",
        "borrowed": True,
        "stage": "running",
        "held_s": 12.5,
        "endpoint": "10.0.0.1:9",
    }
    bare = {k: v for k, v in listed.items() if k != "endpoint"} | {"name_id": "vm-2"}
    cases: dict[str, dict[str, Any]] = {
        "rental": {"call": "rent", "name": "r-4-1", "answers": [[200, '{"looms": ["vm-5"]}']]},
        "rental, no capacity": {
            "call": "rent",
            "name": "r-4-1",
            "answers": [[503, '{"error":"no capacity"}']],
        },
        "rental, refused": {"call": "rent", "name": "r-4-1", "answers": [[400, "{}"]]},
        "rental, trouble": {"call": "rent", "name": "r-4-1", "answers": [[500, "{}"]]},
        "deletion": {"call": "delete", "machines": ["vm-1", "vm-2"], "answers": [[200, "{}"]]},
        "deletion, trouble": {"call": "delete", "machines": ["vm-1"], "answers": [[503, "{}"]]},
        "catalogue": {
            "call": "catalogue",
            "answers": [
                [200, json.dumps({"builds": [MACHINE_TYPE | {"later": 1}, {"sku": "g8"}]})]
            ],
        },
        "catalogue, malformed": {"call": "catalogue", "answers": [[200, "[]"]]},
        "list": {
            "call": "list",
            "answers": [
                [200, json.dumps({"looms": [listed], "more": True})],
                [200, json.dumps({"looms": [bare]})],
            ],
        },
        "list with a machine that failed": {
            "call": "list",
            "answers": [
                [
                    200,
                    json.dumps(
                        {
                            "looms": [
                                listed
                                | {
                                    "name_id": "vm-9",
                                    "stage": "failed",
                                    "yard": "b",
                                }
                            ]
                        }
                    ),
                ]
            ],
        },
        "list, malformed": {"call": "list", "answers": [[200, '{"looms": [{}]}']]},
    }
    return {label: {"records": SHARD_OWNER_RECORDS, **given} for label, given in cases.items()}


def request_bodies() -> dict[str, dict[str, Any]]:
    """Return requests of users and workers and the responses to them, by kind and label."""
    submission: dict[str, Any] = {
        "name_id": "run-1",
        "bundle": "x",
        "crew": "red",
        "shape": "sweep",
        "urgency": "standard",
        "pieces": 4,
        "cpus": 2.0,
        "accelerators": 1.0,
        "ram_gb": 4.0,
        "kit": "img",
        "image_gb": 1.5,
        "builds": ["c8"],
        "yard": "a",
        "same_place": True,
        "scatter": False,
        "borrowed": True,
        "expected_s": 8.0,
        "fold_s": 5.0,
        "press_s": 1.0,
        "due_s": 60.0,
    }
    variations: dict[str, dict[str, Any]] = {
        "array": {},
        "gang": {"shape": "group", "scatter": True, "same_place": False},
        "service": {"shape": "daemon", "urgency": "critical"},
        "urgent": {"urgency": "urgent"},
        "least": {"urgency": "best_effort", "builds": None, "yard": None, "due_s": None},
    }
    for field in submission:
        variations[f"without {field}"] = {field: None}
        variations[f"{field} out of range"] = {field: -1}
    submissions = {label: json.dumps(submission | change) for label, change in variations.items()}
    submissions |= {"no JSON": "{", "no object": "[]"}
    pieces = [
        {"piece": "run-1/0", "try": 5, "stage": "running"},
        {"piece": "run-1/1", "try": 6, "stage": "exited", "cause": "done", "saved": True},
    ]
    reports = {
        "of a machine": json.dumps(heartbeat("vm-1", 3, pieces)),
        "of a machine that is recalled": json.dumps(heartbeat("vm-1", 3, [], recall_s=30.0)),
    }
    commands = {
        "start": ["start", "run-1", 0, 7340033, 0.0],
        "stop": ["stop", "run-1", 1, 5, 1.5],
        "forget": ["forget", "run-1", 2, 6, 0.0],
    }
    workers: dict[str, Any] = {k: {"token": 7, "orders": [v]} for k, v in commands.items()}
    workers |= {"nothing": {"token": 7, "orders": []}}
    workers |= {"all": {"token": 7, "orders": list(commands.values())}}
    users: dict[str, Any] = {"short": ["run-1", "queued"]}
    for stage in ("queued", "running", "done", "withdrawn"):
        users[stage] = ["run-1", stage, 3, 2]
    return {
        "submission": submissions,
        "report": reports,
        "worker": workers,
        "redirect": {"owner": "n1", "nobody": None},
        "user": users,
        "plan": {"short": golden.PLAN, "empty": ""},
        "estimates": {"some": {"x": [0.25, 3]}},
        "to peer": {
            f"status {status}": {
                "request": ["GET", "/v2/runs/run-1", ""],
                "answer": {"status": status, "body": [123, 125], "retry": retry},
            }
            for status, retry in ((200, None), (404, 2), (503, 1))
        },
        "frame": {
            "status": shard_status(),
            "of itself": gossip(),
            "question": {"kind": "shares", "verb": "show", "forwarded": True},
        },
    }


def command_outputs() -> dict[str, dict[str, Any]]:
    """Return operators' commands with the controllers' responses, by kind and label."""
    status = {
        "node": "n0",
        "version": "0.1.0",
        "ready": True,
        "lease_left_s": 4.5,
        "records_age_s": 0.1,
        "leader": "n1",
        "epoch": 3,
        "format": 4,
        "versions": {"n0": 4, "n1": 3},
        "parts": {"a": {"owner": "n0", "token": 7}},
        "jobs": {"open": 3, "done": 1},
        "services": {"run-3": {"replicas": 2, "granted": 2, "running": 1}},
        "machines": {
            "vm-1": {
                "type": "c8",
                "zone": "a",
                "spot": False,
                "up": True,
                "doomed": False,
            }
        },
        "bookings": 1,
        "budgets": {"state_calls": 9.5, "state_writes": 4.0, "cloud_calls": 6.4},
        "owned": {
            "a": {
                "token": 7,
                "unheard": 1,
                "loose": 2,
                "machines": {
                    "vm-1": {
                        "type": "c8",
                        "tasks": 1,
                        "slots": 1,
                        "queued": 0,
                        "free": [2.0, 0.0, 4.0],
                        "silent": 0.5,
                    }
                },
                "held": {"run-2": {"attempt": 7, "state": "held", "wait_s": 3.0}},
            }
        },
        "latencies_ms": {"poll": {"count": 3, "p50": 2.0, "p95": 4.0, "max": 5.0}},
    }
    old = {k: v for k, v in status.items() if k not in ("versions", "format", "services")}
    shares = {
        "status": 200,
        "leader": "n1",
        "plan": {"shares": {}},
        "format": 4,
        "targets_known": False,
        "times": {"machines": {"count": 2, "p50_s": 1.5, "p95_s": 3.0, "max_s": 4.0}},
        "teams": {"night": ["red", "blue"]},
        "owners": {"a": "n0"},
        "machines": [
            {"zone": "a", "share": "", "type": "c8", "machines": 3, "target": None},
            {"zone": "a", "share": "night", "type": "c8", "machines": 1, "target": 2},
        ],
        "transfers": [
            {
                "id": "o-000000f1",
                "generation": 3,
                "zone": "a",
                "source": "",
                "target": "night",
                "type": "c8",
                "count": 2,
                "moved": 1,
                "state": "draining",
                "origin": "operator",
                "left_s": 30.5,
                "waits_for": {"vm-4": "it is gone"},
            }
        ],
    }
    at = ["--at", "127.0.0.1:1"]
    order = ["--zone", "a", "--type", "c8", "--from", "-", "--to", "night", "--id", "o-000000f1"]
    known = {"status": 200, "id": "o-000000f1", "state": "draining"}
    return {
        "operators": {
            "status": {"arguments": ["status", *at], "said": status},
            "status of the version before": {"arguments": ["status", *at], "said": old},
            "status as JSON": {"arguments": ["status", *at, "--json"], "said": status},
            "shares": {"arguments": ["shares", "show", *at], "said": shares},
            "shares as JSON": {"arguments": ["shares", "show", *at, "--json"], "said": shares},
            "plan": {"arguments": ["shares", "plan", *at], "said": shares},
        },
        "command": {
            "show": {"arguments": ["shares", "show", *at], "said": shares},
            "status": {"arguments": ["status", *at], "said": status},
            "move": {"arguments": ["shares", "move", *at, *order, "2"], "said": known},
            "cancel": {"arguments": ["shares", "cancel", *at, "o-000000f1"], "said": known},
            "back to the first plan": {
                "arguments": ["shares", "plan", *at, "--reset"],
                "said": {"status": 200},
            },
            "refused": {
                "arguments": ["shares", "cancel", *at, "o-000000f1"],
                "said": {"status": 404, "error": "id: unknown"},
            },
            "not now": {
                "arguments": ["shares", "show", *at],
                "said": {"status": 503, "error": "no leader"},
            },
        },
    }


def golden_inputs() -> dict[str, dict[str, Any]]:
    """Return all input values, by kind and label."""
    return {
        "records": records() | irregular_records(),
        **job_writes(),
        "messages": messages(),
        "part": shard_owner_steps(),
        "state": state_calls(),
        "transactions": grouped_writes(),
        "script": operator_scripts(),
        "settings": platform_settings(),
        "cloud": cloud_calls(),
        **request_bodies(),
        **command_outputs(),
    }


def scenarios() -> dict[str, Any]:
    """Run the scenarios in a child process with a fixed hash seed, and return what they send.

    Raises:
        RuntimeError: The child process failed; the message is its standard error.
    """
    process = subprocess.run(
        [sys.executable, __file__, "days"],
        env=os.environ | {"PYTHONHASHSEED": "0"},
        capture_output=True,
        check=False,
        timeout=300,
    )
    if process.returncode:
        raise RuntimeError(process.stderr.decode())
    output: dict[str, Any] = json.loads(process.stdout)
    return output


def write_file(name: str, value: Any) -> None:
    (FOLDER / name).write_text(json.dumps(value, indent=1) + "\n")


def main(arguments: list[str]) -> None:
    logging.disable(logging.CRITICAL)
    if arguments == ["days"]:
        print(json.dumps({label: run() for label, run in golden.SCENARIOS.items()}))
        return
    for kind, values in golden_inputs().items():
        plain = json.loads(json.dumps(values))
        items = {
            label: {"given": given, "written": golden.WRITERS[kind](given)}
            for label, given in plain.items()
        }
        write_file(f"{kind.replace(' ', '_')}.json", items)
    write_file("days.json", scenarios())


if __name__ == "__main__":
    main(sys.argv[1:])
