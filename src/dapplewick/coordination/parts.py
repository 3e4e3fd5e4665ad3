"""Which controller owns which part."""

from __future__ import annotations

from dapplewick.storage.records import Mirror, PartRecord
from dapplewick.types import NodeName, Seconds, Zone

DEAF_PAUSE_S = 20.0  # a part changes hands for silent workers at most this often
STEADY_S = 20.0  # a controller that came back gets a part again after this time
EMPTY_STEADY_S = 1.0  # and sooner one without machines, which loses nothing by a new owner
LEADING = 1  # leading is as much work as a part


class PartAssigner:
    """The leader's choice of owners; a part changes hands only for a reason."""

    def __init__(self, mirror: Mirror, zones: list[str], me: NodeName) -> None:
        self.mirror = mirror
        self.zones = [Zone(z) for z in zones]
        self.me = me
        self._uneven_since: Seconds | None = None
        self._moved_at: dict[Zone, Seconds] = {}

    def changes(self, now: Seconds, deaf: set[Zone]) -> dict[Zone, PartRecord]:
        """The parts that get a new owner now. `deaf` are those whose owner hears none of its
        machines: it may have lost the way to them alone, and another may hear them."""
        nodes = self.mirror.nodes
        load: dict[NodeName, int] = dict.fromkeys(nodes, 0)
        if self.me in load:
            load[self.me] = LEADING
        orphans: list[Zone] = []
        for zone in self.zones:
            part = self.mirror.parts.get(zone)
            node = nodes.get(NodeName(part.owner)) if part is not None else None
            # A controller that was started again knows nothing of its earlier life: its part
            # is given out anew, under a new token.
            if part is None or node is None or node.boot != part.boot:
                orphans.append(zone)
            else:
                load[NodeName(part.owner)] += 1
        out: dict[Zone, PartRecord] = {}
        for zone in orphans:
            if not load:
                return out
            node_name = min(load, key=lambda n: self._key(n, zone, load))
            load[node_name] += 1
            out[zone] = PartRecord(owner=node_name, boot=nodes[node_name].boot)
        if not out:
            out = self._move_deaf(now, load, deaf) or self._even_out(now, load)
        return out

    def _move_deaf(
        self, now: Seconds, load: dict[NodeName, int], deaf: set[Zone]
    ) -> dict[Zone, PartRecord]:
        for zone in sorted(deaf & self.mirror.parts.keys()):
            owner = NodeName(self.mirror.parts[zone].owner)
            others = {n: count for n, count in load.items() if n != owner}
            if others and now - self._moved_at.get(zone, -1e9) >= DEAF_PAUSE_S:
                self._moved_at[zone] = now
                name = min(others, key=lambda n: self._key(n, zone, others))
                return {zone: PartRecord(owner=name, boot=self.mirror.nodes[name].boot)}
        return {}

    def _key(self, node: NodeName, zone: Zone, load: dict[NodeName, int]) -> tuple[object, ...]:
        """The least loaded, preferably not the leader, preferably in the zone itself."""
        return (load[node], node == self.me, self.mirror.nodes[node].zone != zone, node)

    def _even_out(self, now: Seconds, load: dict[NodeName, int]) -> dict[Zone, PartRecord]:
        if not load or max(load.values()) - min(load.values()) < 2:
            self._uneven_since = None
            return {}
        if self._uneven_since is None:
            self._uneven_since = now
        most = max(load, key=lambda n: (load[n], n))
        owned = [z for z in self.zones if self.mirror.parts[z].owner == most]
        if not owned:
            return {}
        zone = owned[-1]
        full = any(m.up and m.zone == zone for m in self.mirror.machines.values())
        if now - self._uneven_since < (STEADY_S if full else EMPTY_STEADY_S):
            return {}
        self._uneven_since = None
        least = min(load, key=lambda n: self._key(n, zone, load))
        return {zone: PartRecord(owner=least, boot=self.mirror.nodes[least].boot)}
