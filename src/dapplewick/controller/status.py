"""Describes a controller's state for operators; changes nothing in the records."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from dapplewick import __version__
from dapplewick.controller.latencies import LatencyHistograms
from dapplewick.controller.record_follower import RecordFollower
from dapplewick.coordination.identity import Identity
from dapplewick.coordination.leadership import Leadership
from dapplewick.coordination.peer_exchange import PeerExchange
from dapplewick.coordination.presence import Presence
from dapplewick.core.invariants import InvariantCounts
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.storage.keys import LEADER, SHARDS
from dapplewick.storage.rate_limiter import RateLimiter
from dapplewick.storage.state_client import StateClient
from dapplewick.types import Seconds, ShardName


@dataclass(eq=False, kw_only=True)
class StatusReporter:
    """Builds the status of a controller from plain values, for the command line and consoles.

    The keys of the status must not change, since consoles of earlier versions read them.
    """

    identity: Identity
    records: RecordFollower
    presence: Presence
    peers: PeerExchange
    state: StateClient
    cloud_budget: RateLimiter
    schedulers: Mapping[ShardName, ShardScheduler]
    latencies: LatencyHistograms
    invariants: InvariantCounts
    leadership: Leadership
    now: Callable[[], Seconds]

    def describe(self) -> dict[str, Any]:
        """Describe this controller and its copy of the records."""
        now = self.now()
        cache = self.records.cache
        return {
            "node": self.identity.name,
            "version": __version__,
            "ready": self.records.ready,
            "lease_left_s": round(max(0.0, self.presence.lease_valid_until - now), 1),
            "records_age_s": round(now - self.records.current_at, 1),
            "leader": cache.leader.controller if cache.leader is not None else None,
            "epoch": cache.version(LEADER),
            "format": cache.format,
            "versions": {name: record.version for name, record in cache.controllers.items()},
            "parts": {
                name: {"owner": shard.owner, "token": cache.version(SHARDS + name)}
                for name, shard in cache.shards.items()
            },
            "jobs": self._count_jobs(),
            "services": self._describe_services(),
            "machines": self._describe_machines(),
            "bookings": len(cache.provisioning_requests),
            "budgets": {
                "state_calls": round(self.state.request_budget.available(), 1),
                "state_writes": round(self.state.write_budget.available(), 1),
                "cloud_calls": round(self.cloud_budget.available(), 1),
            },
            "owned": {
                name: _describe_shard(now, scheduler) for name, scheduler in self.schedulers.items()
            },
            "latencies_ms": self.latencies.summarize(),
            **self._describe_violations(),
            **self._describe_waiting(),
        }

    def _describe_violations(self) -> dict[str, Any]:
        """Return the counts of violated invariants; empty if none was violated."""
        violations = {str(name): n for name, n in self.invariants.violations.items()}
        return {"violations": violations} if violations else {}

    def _describe_waiting(self) -> dict[str, Any]:
        """Return the groups of long-waiting jobs with their reasons, if this controller leads."""
        planner = self.leadership.planner
        if planner is None or not planner.wait_reasons.groups:
            return {}
        return {"waiting": [group._asdict() for group in planner.wait_reasons.groups]}

    def _count_jobs(self) -> dict[str, int]:
        """Return the number of jobs in each stage."""
        counts: dict[str, int] = {}
        for job in self.records.cache.jobs.values():
            counts[job.stage] = counts.get(job.stage, 0) + 1
        return counts

    def _describe_services(self) -> dict[str, Any]:
        return {
            job_id: {
                "replicas": job.spec.task_count,
                "granted": sum(len(tasks) for tasks in job.assignments.values()),
                "running": self.peers.running_tasks(job_id),
            }
            for job_id, job in self.records.cache.iter_live_jobs()
            if job.spec.is_service and job.open
        }

    def _describe_machines(self) -> dict[str, Any]:
        return {
            name: {
                "type": machine.type,
                "zone": machine.zone,
                "spot": machine.spot,
                "up": machine.up,
                "doomed": machine.terminating,
            }
            for name, machine in self.records.cache.machines.items()
        }


def _describe_shard(now: Seconds, scheduler: ShardScheduler) -> dict[str, Any]:
    """Describe an owned shard by its status."""
    status = scheduler.status(now)
    scheduler.dirty = True  # this status was not sent, so its changes must go to the leader later
    unqueued = len(scheduler.queues.unqueued)
    return {
        "token": scheduler.token,
        "unheard": status.unreconciled,
        "loose": unqueued,
        "machines": {
            name: {
                "type": scheduler.machines[name].type,
                "tasks": len(scheduler.machines[name].task_attempts),
                "slots": len(scheduler.machines[name].slots),
                "queued": machine.queued,
                "free": machine.free,
                "silent": round(now - scheduler.machines[name].last_heartbeat_at, 1),
            }
            for name, machine in status.machines.items()
            if machine is not None
        },
        "held": {
            job: {"attempt": gang.attempt, "state": gang.state, "wait_s": gang.remaining_wait_s}
            for job, gang in status.gangs.items()
            if gang is not None
        },
    }
