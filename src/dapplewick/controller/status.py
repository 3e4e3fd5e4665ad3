"""What a controller tells of itself; it only reads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dapplewick import __version__
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.storage.keys import LEADER, SHARDS
from dapplewick.types import Seconds

if TYPE_CHECKING:
    from dapplewick.controller.controller import Controller


def controller_status(controller: Controller) -> dict[str, Any]:
    """A status as plain values, for the command line and later consoles."""
    now = controller.now()
    cache = controller.cache
    jobs: dict[str, int] = {}
    for job in cache.jobs.values():
        jobs[job.stage] = jobs.get(job.stage, 0) + 1
    return {
        "node": controller.own_name,
        "version": __version__,
        "ready": controller.ready,
        "lease_left_s": round(max(0.0, controller.presence.lease_until - now), 1),
        "records_age_s": round(now - controller.current_at, 1),
        "leader": cache.leader.controller if cache.leader is not None else None,
        "epoch": cache.version(LEADER),
        "format": cache.format,
        "versions": {name: record.version for name, record in cache.controllers.items()},
        "parts": {
            zone: {"owner": shard.owner, "token": cache.version(SHARDS + zone)}
            for zone, shard in cache.shards.items()
        },
        "jobs": jobs,
        "services": {
            job_id: {
                "replicas": job.spec.task_count,
                "granted": sum(len(tasks) for tasks in job.assignments.values()),
                "running": controller.running_tasks(job_id),
            }
            for job_id, job in cache.each_live()
            if job.spec.is_service and job.open
        },
        "machines": {
            name: {
                "type": m.type,
                "zone": m.zone,
                "spot": m.spot,
                "up": m.up,
                "doomed": m.terminating,
            }
            for name, m in cache.machines.items()
        },
        "bookings": len(cache.provisioning_requests),
        "budgets": {
            "state_calls": round(controller.state.calls.level(), 1),
            "state_writes": round(controller.state.writes.level(), 1),
            "cloud_calls": round(controller.cloud_budget.level(), 1),
        },
        "owned": {
            zone: _shard(now, scheduler) for zone, scheduler in controller.shard_schedulers.items()
        },
        "latencies_ms": controller.latencies.view(),
    }


def _shard(now: Seconds, scheduler: ShardScheduler) -> dict[str, Any]:
    status = scheduler.status(now)
    scheduler.dirty = True
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
