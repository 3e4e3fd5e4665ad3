"""Stand-in for the cloud provider that rents machines."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from standins.deployment import TYPES
from standins.virtual_time import now

if TYPE_CHECKING:
    from standins.world import World


class Cloud:
    """Rents machines and starts a worker on each new machine."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.provisioning_requests: dict[str, list[str]] = {}
        self.next_name = 0
        self.down = False
        self.unavailable_types: set[tuple[str, bool]] = set()  # (type, spot) without capacity
        self.history: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    async def answer(self, method: str, target: str, body: bytes | None) -> tuple[int, bytes]:
        if self.down:
            return 503, b'{"error":"trouble"}'
        path, query = urlsplit(target).path, parse_qs(urlsplit(target).query)
        if path == "/catalog":
            types = [machine_type | {"yards": self.world.zones} for machine_type in TYPES]
            return 200, json.dumps({"builds": types}).encode()
        if path == "/hosts" and method == "POST":
            request = json.loads(body or b"{}")
            if (request["build"], request["borrowed"]) in self.unavailable_types:
                return 503, b'{"error":"no capacity"}'
            if request["booking"] not in self.provisioning_requests:
                names = []
                for _ in range(request["how_many"]):
                    name = f"vm-{self.next_name:06d}"
                    self.next_name += 1
                    self.world.new_machine(
                        name, request["build"], request["yard"], request["borrowed"]
                    )
                    names.append(name)
                self.provisioning_requests[request["booking"]] = names
            return 200, json.dumps(
                {"looms": self.provisioning_requests[request["booking"]]}
            ).encode()
        if path == "/hosts/delete":
            for name in json.loads(body or b"{}")["looms"]:
                self.world.remove_machine(name)
            return 200, b"{}"
        lag_s = 4.0 * self.world.random.random() * 2
        visible = [m for at, m in self.history if at <= now() - lag_s] or [[]]
        start_after = query.get("since", [""])[0]
        return 200, json.dumps(
            {"looms": [m for m in visible[-1] if m["name_id"] > start_after]}
        ).encode()

    def snapshot(self) -> None:
        machines = [
            {
                "name_id": w.name,
                "endpoint": "",
                "build": w.type,
                "yard": w.zone,
                "borrowed": w.spot,
                "stage": "running",
                "held_s": now() - w.created_at,
            }
            for w in self.world.workers.values()
        ]
        self.history.append((now(), machines))
