"""The scenarios that `tests/tools/compare_behaviour.py` runs.

Their names are compared between versions, so they must not change.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import compatibility.test_partition_versions as partition_versions
import compatibility.test_upgrade as upgrade
import simulation.test_cancellations as cancellations
import simulation.test_compound_failures as compound_failures
import simulation.test_failure_pairs as failure_pairs
import simulation.test_leadership as leadership
import simulation.test_partition_commands as partition_commands
import simulation.test_partition_faults as partition_faults
import simulation.test_partition_moves as moves
import simulation.test_requests as requests
import simulation.test_services as services
import support.faults as faults
import support.partition_moves as partition_moves
import support.scenarios as scenarios
from dapplewick.protocol import peers
from dapplewick.protocol.workers import encode_heartbeat_response
from standins import World, recorder
from support import production, rolls
from support.answer_scenarios import run_answer_scenario
from support.shard_bench import TOKEN, busy_shard, leader_of

ScenarioRun = Callable[[], Any]


def job_polling(seed: int, jobs: int) -> ScenarioRun:
    """Many users poll short jobs during compound failures.

    With an odd seed the state service also lowers its limits during the run.
    """
    return lambda: run_answer_scenario(seed, jobs)


def single_fault(kind: scenarios.Fault, seed: int) -> ScenarioRun:
    """Users submit gangs and arrays while one kind of failure occurs."""
    return lambda: scenarios.run_fault_scenario(kind, seed)


def cluster_layout(count: int, zones: list[str], kind: scenarios.Fault, seed: int) -> ScenarioRun:
    """A single kind of failure with the given number of controllers and the given zones."""
    return lambda: scenarios.run_fault_scenario(kind, seed, world=World(seed, count, zones))


def compound_failure(script: scenarios.Script, seed: int, length: float) -> ScenarioRun:
    """Overlapping failures, as the script of a compound scenario injects them."""
    return lambda: scenarios.run_script_scenario(script, seed, length)


def service_fault(fault: services.Script) -> ScenarioRun:
    """Services run beside batch jobs while one kind of failure occurs."""
    return lambda: services.test_services_recover_from_every_fault(fault)


def rolling_upgrade(fault: rolls.Fault, seed: int) -> ScenarioRun:
    """Controllers are upgraded from the production version to this version.

    The state service lowers its limits after the upgrade.
    """
    return lambda: rolls.run_rolling_upgrade(production.load(), fault, seed)


def rolling_upgrade_with_services(
    fault: rolls.Fault, seed: int, lowered_after: float
) -> ScenarioRun:
    """Controllers are upgraded from the previous main version, which already runs services.

    The state service lowers its limits `lowered_after` seconds after the start, in mid-upgrade.
    """
    return lambda: rolls.run_rolling_upgrade(
        production.load_commit(production.PREVIOUS_MAIN), fault, seed, lowered_after=lowered_after
    )


def transfer_fault(seed: int, kind: str, roles: list[str], after: float) -> ScenarioRun:
    """Machines move between partitions while the controllers in the given roles fail."""
    return lambda: partition_faults.run_fault_scenario(seed, kind, roles, after)


def fault_during_transfers(fault: partition_moves.Script, second_transfer: bool) -> ScenarioRun:
    """Machines move between partitions while services, machines or controllers fail."""
    return lambda: partition_faults.test_faults_of_services_and_machines_while_machines_move(
        fault, second_transfer
    )


def random_transfers(seed: int) -> ScenarioRun:
    """Machines move between random partitions while random faults occur."""
    return lambda: partition_faults.test_random_moves_and_faults(seed)


def run_large_shard() -> None:
    """Record the messages of a shard whose machines are fully occupied.

    Each step sends a shard status to the leader, plans, handles heartbeats and runs a tick.
    """
    bench = busy_shard(60)
    leader = leader_of(bench, 2.6)
    for step in range(12):
        at = 3.0 + step
        status = bench.scheduler.status(at)
        recorder.record("part_status", part="a", message=peers.encode(status))
        leader.receive_shard_status(at, status)
        leader.plan(at, at)
        for name in bench.names[step::4]:
            commands = bench.heartbeat(name, at, set(list(bench.on[name])[: step % 3]))
            recorder.record("orders", machine=name, body=encode_heartbeat_response(TOKEN, commands))
        bench.scheduler.tick(at + 0.5)


SCENARIOS: dict[str, ScenarioRun] = {
    # Random failures of controllers, their network and the state service
    "answers-1": job_polling(1, 14),
    "answers-2": job_polling(2, 14),
    "answers-3": job_polling(3, 20),
    "answers-4": job_polling(4, 20),
    "answers-5": job_polling(5, 30),
    "answers-6": job_polling(6, 30),
    # One kind of failure each, of controllers, services, machines and zones
    "quiet": single_fault(faults.quiet, 1),
    "all-killed": single_fault(faults.all_crash, 1),
    "restarts": single_fault(faults.quick_restarts, 1),
    "refused-by-state": single_fault(faults.refused_by_state, 1),
    "cut-from-state": single_fault(faults.cut_from_state, 2),
    "cut-from-workers": single_fault(faults.cut_from_workers, 1),
    "state-outage": single_fault(faults.state_outage, 1),
    "cloud-outage": single_fault(faults.cloud_outage, 2),
    "lossy": single_fault(faults.lost_answers, 1),
    "bad-machines": single_fault(faults.bad_machines, 1),
    "deaf-machines": single_fault(faults.unreachable_machines, 2),
    "late-copies": single_fault(faults.late_copies, 1),
    "blinks": single_fault(faults.blinks, 1),
    "alone-with-workers": single_fault(faults.alone_with_its_workers, 2),
    "stands-still": single_fault(faults.stands_still, 1),
    "all-end-in-an-outage": single_fault(faults.all_end_in_an_outage, 1),
    "zone-cut": single_fault(faults.zone_cut, 1),
    "many-machines": single_fault(faults.many_machines, 2),
    "everything": single_fault(faults.everything, 2),
    "drawn-11": single_fault(faults.drawn, 11),
    "drawn-14": single_fault(faults.drawn, 14),
    "five-controllers": cluster_layout(5, ["a", "b", "c"], faults.quick_restarts, 31),
    "one-controller": cluster_layout(1, ["a", "b"], faults.bad_machines, 32),
    # Compound failures
    "gap-told": compound_failure(cancellations.refusal_then_outage("owner", False), 1, 200.0),
    "gap-lost": compound_failure(cancellations.refusal_then_outage("both", True, True), 2, 200.0),
    "late-writes": compound_failure(leadership.many_late_writes, 1, 200.0),
    "all-away": compound_failure(failure_pairs.all_away, 1, 250.0),
    "limit-and-cancellation": compound_failure(failure_pairs.limit_and_cancellation, 1, 250.0),
    "close-looks": lambda: compound_failures.run_answer_probes(1, 0.25),
    "kept-reports": compound_failure(compound_failures.heartbeats_replayed_to_new_leader, 1, 200.0),
    "up-at-once": compound_failure(compound_failures.fast_booting_machines, 1, 200.0),
    "handover-cancelled": compound_failure(
        compound_failures.cancellations_during_owner_change, 1, 200.0
    ),
    "odd-requests": requests.test_invalid_requests_get_the_protocols_answer_also_in_an_outage,
    # Services
    "services-all-killed": service_fault(faults.all_crash),
    "services-bad-machines": service_fault(faults.bad_machines),
    "services-answered": services.test_services_are_answered_like_any_job_and_never_done,
    # Rolling upgrades, and lowered limits of the state service
    "roll": rolling_upgrade(rolls.nothing, 1),
    "roll-all-killed": rolling_upgrade(rolls.all_killed, 2),
    "roll-limits-fall": rolling_upgrade_with_services(rolls.leaders_in_turn, 1, 40.0),
    "chunks": lambda: upgrade.test_arrays_in_chunks_keep_the_rules_under_every_fault(
        faults.quick_restarts, 1
    ),
    "limits-fall": lambda: upgrade.test_the_limits_may_fall_while_records_are_cut(1),
    # Partitions enabled
    "shares-idle": moves.test_idle_machines_move_at_once_and_work_starts_under_the_new_owner,
    "shares-plan": moves.test_the_plan_moves_half_of_the_machines_and_keeps_to_it,
    "shares-orders": partition_commands.test_bad_commands_and_plans_are_refused,
    "shares-gang": moves.test_a_reserved_gang_is_released_when_its_machine_is_drained,
    "shares-services": moves.test_services_move_first_and_are_served_meanwhile,
    "shares-crash": transfer_fault(124, "crash", ["leader", "giver"], 1.5),
    "shares-hang": transfer_fault(112, "hang", ["receiver"], 0.3),
    "shares-all-killed": fault_during_transfers(partition_faults.all_killed, True),
    "shares-late-writes": fault_during_transfers(partition_faults.writes_late, False),
    "shares-drawn-0": random_transfers(0),
    "shares-drawn-3": random_transfers(3),
    "shares-roll": lambda: (
        partition_versions.test_partitions_begin_once_all_controllers_understand_them("production")
    ),
    "shares-off": lambda: (
        partition_versions.test_switched_off_in_mid_move_all_machines_return_to_the_zones_shard(6.0)
    ),
    # Without a simulated network
    "large-part": run_large_shard,
}
