"""Machine groups in a minimal key-value store, with a watch cache that is kept current."""

from __future__ import annotations

from typing import Any

from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.storage.formats import CURRENT_FORMAT
from dapplewick.storage.keys import FORMAT, MACHINES
from dapplewick.storage.watch_cache import WatchCache

VALUE_BYTES = 942  # usable part of a value at the lowered limit of 1 KiB
TXN_OPS = 4


def group(count: int) -> dict[str, Any]:
    machines = {f"vm-{n:06d}": "u" if n % 3 else "b17" for n in range(count)}
    return {"type": "c8", "zone": "a", "spot": False, "machines": machines}


class Store:
    """Machine groups in a key-value store, with a watch cache that receives each write."""

    def __init__(self, count: int) -> None:
        self.cache = WatchCache()
        self.revision = 0
        self.keys: dict[str, tuple[Any, int]] = {}
        self.write(FORMAT, {"version": CURRENT_FORMAT})
        self.write(MACHINES + "r-1", group(count))
        self.machines = dict(self.cache.machines)

    def write(self, key: str, value: Any) -> None:
        self.revision += 1
        if value is None:
            del self.keys[key]
            self.cache.remove(key, self.revision)
        else:
            self.keys[key] = (value, self.revision)
            self.cache.put(key, value, self.revision)

    def machine_lifecycle(self) -> MachineLifecycle:
        return MachineLifecycle(self.cache, None, 14.0, 4.0, VALUE_BYTES, TXN_OPS)  # type: ignore[arg-type]

    def reload_cache(self, cache: Any) -> Any:
        cache.reload(dict(sorted(self.keys.items())), self.revision)
        return cache
