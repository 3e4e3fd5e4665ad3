"""Checks the users' rules during a scenario, independently of the scheduler's code."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from standins.deployment import TYPES, WORKERS
from standins.virtual_time import now
from standins.worker import Worker

if TYPE_CHECKING:
    from standins.world import World


class RuleChecker:
    """Checks the rules at each start of a task and periodically, by counting over all machines."""

    def __init__(self, world: World) -> None:
        self.world = world

    def check_start(self, worker: Worker, name: str) -> None:
        """Check the rules for a task that starts on a machine."""
        self.world.starts += 1
        self.world.first_start.setdefault(name, now())
        self.world.start_counts[name] = self.world.start_counts.get(name, 0) + 1
        job_id = name.rpartition("/")[0]
        job = self.world.jobs[job_id]
        self.world.waiting_since.pop(job_id, None)
        if name in self.world.completed_tasks:
            self.world.restarted_after_done.append(name)
        if job_id in self.world.cancelled_at:
            delay_s = now() - self.world.cancelled_at[job_id]
            self.world.started_after_cancel[name] = delay_s
            if delay_s > WORKERS["cancel_s"]:
                self.world.violations.append(f"ran_cancelled {name} started")
        present_tasks = self.world.on_machines()
        for other, other_name in present_tasks:
            if other_name == name and other is not worker:
                self.world.violations.append(f"ran_twice {name}")
        self._check_placement(worker, name, job, present_tasks)
        self._check_quota(name, job, present_tasks)

    def _check_placement(
        self,
        worker: Worker,
        name: str,
        job: dict[str, Any],
        present_tasks: list[tuple[Worker, str]],
    ) -> None:
        if job["builds"] is not None and worker.type not in job["builds"]:
            self.world.violations.append(f"wrong_place {name} type")
        if job["yard"] not in (None, worker.zone):
            self.world.violations.append(f"wrong_place {name} zone")
        if worker.spot and not job["borrowed"]:
            self.world.violations.append(f"wrong_place {name} spot")
        job_id = name.rpartition("/")[0]
        sibling_workers = [
            w for w, n in present_tasks if n.rpartition("/")[0] == job_id and n != name
        ]
        if job["same_place"] and any(w.zone != worker.zone for w in sibling_workers):
            self.world.violations.append(f"wrong_place {name} same_place")
        if job["scatter"]:
            tasks_in_zone = sum(w.zone == worker.zone for w in sibling_workers) + 1
            if tasks_in_zone > (job["pieces"] + 1) // 2:
                self.world.violations.append(f"wrong_place {name} scatter")

    def _check_quota(
        self, name: str, job: dict[str, Any], present_tasks: list[tuple[Worker, str]]
    ) -> None:
        team = next(t for t in self.world.teams if t["name"] == job["crew"])
        for limit, field in (("cpus_max", "cpus"), ("gpus_max", "accelerators")):
            used = sum(
                self.world.jobs[n.rpartition("/")[0]][field]
                for _, n in present_tasks
                if self.world.jobs[n.rpartition("/")[0]]["crew"] == job["crew"] and n != name
            )
            if 0 < team[limit] < used + job[field] - 1e-6:
                self.world.violations.append(f"quota {name}")

    def check_cancelled(self) -> None:
        """Check that no task of a cancelled job stays on a machine longer than `cancel_s`."""
        for worker, name in self.world.on_machines():
            cancelled_at = self.world.cancelled_at.get(name.rpartition("/")[0])
            if cancelled_at is not None and now() > cancelled_at + WORKERS["cancel_s"]:
                # A worker that hung for longer than its lease ends its tasks before anything else.
                over = worker.hanging and now() - worker.lease_renewed_at > WORKERS["lease_s"]
                if not (over and self.world.hung_tasks_end_with_lease):
                    self.world.violations.append(f"ran_cancelled {name}")

    def check_waiting(self) -> None:
        """Check, once faults have ended, that no job waits for more than 90 s while a suitable
        machine has free capacity and the job's team is below its limit."""
        assert self.world.faults_ended_at is not None
        present_tasks = self.world.on_machines_or_fetching()
        workers_by_job: dict[str, list[Worker]] = {}
        jobs_on: dict[str, list[dict[str, Any]]] = {}
        for worker, name in present_tasks:
            job_id = name.rpartition("/")[0]
            workers_by_job.setdefault(job_id, []).append(worker)
            jobs_on.setdefault(worker.name, []).append(self.world.jobs[job_id])
        for job_id in sorted(self.world.accepted):
            job = self.world.jobs[job_id]
            names = [f"{job_id}/{i}" for i in range(job["pieces"])]
            placed = workers_by_job.get(job_id, [])
            remaining = sum(n not in self.world.completed_tasks for n in names) - len(placed)
            over = (
                self.world.reported_stages.get(job_id) in ("done", "withdrawn")
                or job_id in self.world.cancelled_at
            )
            if over or remaining <= 0 or not self.could_start(job, placed, present_tasks, jobs_on):
                self.world.waiting_since.pop(job_id, None)
                continue
            since = max(
                self.world.faults_ended_at, self.world.waiting_since.setdefault(job_id, now())
            )
            if now() - since > 90.0:
                self.world.violations.append(f"waits {job_id}")
                self.world.waiting_since.pop(job_id)

    def could_start(
        self,
        job: dict[str, Any],
        placed: list[Worker],
        present_tasks: list[tuple[Worker, str]],
        jobs_on: dict[str, list[dict[str, Any]]],
    ) -> bool:
        """Whether one task of an array, or all tasks of a gang, fit into the free capacity."""
        gang = job["shape"] == "group"
        if gang and placed:
            return False
        task_count = job["pieces"] if gang else 1
        if not self._within_quota(job, task_count, present_tasks):
            return False
        free_by_zone = self._fitting_tasks_by_zone(job, jobs_on)
        if job["same_place"]:
            if placed:
                free_by_zone = {z: n for z, n in free_by_zone.items() if z == placed[0].zone}
            return max(free_by_zone.values(), default=0) >= task_count
        if job["scatter"]:
            zone_limit = (job["pieces"] + 1) // 2
            free_by_zone = {
                z: min(n, zone_limit - sum(w.zone == z for w in placed))
                for z, n in free_by_zone.items()
            }
        return sum(max(0, n) for n in free_by_zone.values()) >= task_count

    def _within_quota(
        self, job: dict[str, Any], task_count: int, present_tasks: list[tuple[Worker, str]]
    ) -> bool:
        team = next(t for t in self.world.teams if t["name"] == job["crew"])
        for limit, field in (("cpus_max", "cpus"), ("gpus_max", "accelerators")):
            used = sum(
                self.world.jobs[n.rpartition("/")[0]][field]
                for _, n in present_tasks
                if self.world.jobs[n.rpartition("/")[0]]["crew"] == job["crew"]
            )
            if 0 < team[limit] < used + task_count * job[field] - 1e-6:
                return False
        return True

    def _fitting_tasks_by_zone(
        self, job: dict[str, Any], jobs_on: dict[str, list[dict[str, Any]]]
    ) -> dict[str, int]:
        """Count the tasks of a job that fit on the machines of each zone now.

        Args:
            job: The job.
            jobs_on: The job of each task on a machine, by machine name.
        """
        free_by_zone: dict[str, int] = {}
        for worker in self.world.workers.values():
            if (
                worker.hanging
                or worker.cut
                or worker.answers_lost
                or worker.spot_notice_s is not None
            ):
                continue
            if job["builds"] is not None and worker.type not in job["builds"]:
                continue
            if job["yard"] not in (None, worker.zone) or (worker.spot and not job["borrowed"]):
                continue
            machine_type = next(t for t in TYPES if t["sku"] == worker.type)
            fitting_tasks = 99.0
            for field in ("cpus", "accelerators", "ram_gb"):
                used = sum(other[field] for other in jobs_on.get(worker.name, ()))
                if job[field] > 0:
                    free_tasks = float(machine_type[field]) - used + 1e-6  # type: ignore[arg-type]
                    fitting_tasks = min(fitting_tasks, free_tasks // job[field])
            free_by_zone[worker.zone] = free_by_zone.get(worker.zone, 0) + int(
                max(0.0, fitting_tasks)
            )
        return free_by_zone
