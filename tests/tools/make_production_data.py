"""Writes tests/data/production.json: records and messages of the version in production."""

import json
import sys
from pathlib import Path

import anyio
import cbor2

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

import standins  # noqa: E402
from support import production  # noqa: E402
from support.paths import DATA  # noqa: E402
from support.scenarios import run_script, submit_jobs  # noqa: E402


def main() -> None:
    world = standins.World(5)
    world.earlier_version, world.earlier_version_controllers = production.load(), set(world.names)
    messages: dict[str, object] = {}
    post = standins.Link.post

    def record_message(self: standins.Link, kind: str, message: dict[str, object]) -> None:
        messages[kind] = json.loads(json.dumps(cbor2.loads(cbor2.dumps(message))))
        post(self, kind, message)

    standins.Link.post = record_message  # type: ignore[method-assign]

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 10, pieces=12, cpus=2.0, true_s=9.0)
        for n in range(10, 16):
            body = world.job(name_id=f"run-{n:06d}", shape="group", pieces=2, true_s=30.0)
            world.group.start_soon(world.user, body["name_id"], body, 14.0 if n == 12 else None)

    run_script(world, 32.0, script)
    records = [[key, value, version] for key, (value, version, _) in world.state.keys.items()]
    data = {"commit": production.commit(), "records": records, "messages": [*messages.values()]}
    path = DATA / "production.json"
    path.write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    main()
