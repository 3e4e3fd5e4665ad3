"""The scenarios that `tests/tools/compare_behaviour.py` plays, under fixed names."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import compatibility.test_partition_versions as versions
import compatibility.test_upgrade as upgrade
import simulation.test_compound_failures as compound
import simulation.test_failure_pairs as meetings
import simulation.test_partition_moves as shares
import simulation.test_scenarios as days
import simulation.test_services as services
from dapplewick.protocol import peers
from dapplewick.protocol.workers import encode_heartbeat_response
from standins import World, recorder
from support import production, rolls
from support.answer_scenarios import play_answers
from unit.test_scheduler_models import TOKEN
from unit.test_work_scaling import busy_part, leader_of

Play = Callable[[], Any]


def answers(seed: int, jobs: int) -> Play:
    """Many users ask about short jobs while troubles meet; limits are lowered on odd seeds."""
    return lambda: play_answers(seed, jobs)


def fault(kind: days.Fault, seed: int) -> Play:
    """Gangs and arrays of users, and one kind of failure."""
    return lambda: days.play(kind, seed)


def layout(count: int, zones: list[str], kind: days.Fault, seed: int) -> Play:
    """Another number of controllers and of zones."""
    return lambda: days.play(kind, seed, world=World(seed, count, zones))


def meeting(script: meetings.Script, seed: int, length: float) -> Play:
    """Troubles that meet."""
    return lambda: meetings.day(script, seed, length)


def service(trouble: services.Script) -> Play:
    """Services with batch work beside them, and one kind of failure."""
    return lambda: services.test_services_come_back_after_every_trouble(trouble)


def roll(trouble: rolls.Trouble, seed: int) -> Play:
    """Controllers of production are replaced by this version; then the limits fall."""
    return lambda: rolls.play_roll(production.load(), trouble, seed)


def roll_with_services(trouble: rolls.Trouble, seed: int, lowered_after: float) -> Play:
    """The same from a version that has services: the limits fall in the middle of the roll."""
    return lambda: rolls.play_roll(
        production.load_commit(production.PREVIOUS_MAIN), trouble, seed, lowered_after=lowered_after
    )


def move(seed: int, kind: str, roles: list[str], after: float) -> Play:
    """Machines move between shares while controllers fail."""
    return lambda: shares.play_trouble(seed, kind, roles, after)


def moves_and(trouble: shares.Script, moved_on: bool) -> Play:
    """Machines move between shares while services, machines or controllers fail."""
    return lambda: shares.test_troubles_of_services_and_machines_while_machines_move(
        trouble, moved_on
    )


def drawn_moves(seed: int) -> Play:
    """Any moves between shares with any troubles."""
    return lambda: shares.test_drawn_days_of_moves_and_troubles(seed)


def large_part() -> None:
    """A part whose machines are full: what it tells, and what a report, a tick and a plan give."""
    bench = busy_part(60)
    leader = leader_of(bench, 2.6)
    for step in range(12):
        at = 3.0 + step
        status = bench.scheduler.status(at)
        recorder.record("part_status", part="a", message=peers.encode(status))
        leader.shard_status(at, status)
        leader.plan(at, at)
        for name in bench.names[step::4]:
            commands = bench.report(name, at, set(list(bench.on[name])[: step % 3]))
            recorder.record("orders", machine=name, body=encode_heartbeat_response(TOKEN, commands))
        bench.scheduler.tick(at + 0.5)


DAYS: dict[str, Play] = {
    # Every kind of failure of controllers, their network and the state service, drawn
    "answers-1": answers(1, 14),
    "answers-2": answers(2, 14),
    "answers-3": answers(3, 20),
    "answers-4": answers(4, 20),
    "answers-5": answers(5, 30),
    "answers-6": answers(6, 30),
    # One kind of failure each, of controllers, services, machines and zones
    "quiet": fault(days.quiet, 1),
    "all-killed": fault(days.all_crash, 1),
    "restarts": fault(days.quick_restarts, 1),
    "refused-by-state": fault(days.refused_by_state, 1),
    "cut-from-state": fault(days.cut_from_state, 2),
    "cut-from-workers": fault(days.cut_from_workers, 1),
    "state-outage": fault(days.state_outage, 1),
    "cloud-outage": fault(days.cloud_outage, 2),
    "lossy": fault(days.lost_answers, 1),
    "bad-machines": fault(days.bad_machines, 1),
    "deaf-machines": fault(days.deaf_machines, 2),
    "late-copies": fault(days.late_copies, 1),
    "blinks": fault(days.blinks, 1),
    "alone-with-workers": fault(days.alone_with_its_workers, 2),
    "stands-still": fault(days.stands_still, 1),
    "all-end-in-an-outage": fault(days.all_end_in_an_outage, 1),
    "zone-cut": fault(days.zone_cut, 1),
    "many-machines": fault(days.many_machines, 2),
    "everything": fault(days.everything, 2),
    "drawn-11": fault(days.drawn, 11),
    "drawn-14": fault(days.drawn, 14),
    "five-controllers": layout(5, ["a", "b", "c"], days.quick_restarts, 31),
    "one-controller": layout(1, ["a", "b"], days.bad_machines, 32),
    # Troubles that meet
    "gap-told": meeting(meetings.gap("owner", False), 1, 200.0),
    "gap-lost": meeting(meetings.gap("both", True, True), 2, 200.0),
    "late-writes": meeting(meetings.many_late_writes, 1, 200.0),
    "all-away": meeting(meetings.all_away, 1, 250.0),
    "limit-and-cancellation": meeting(meetings.limit_and_cancellation, 1, 250.0),
    "close-looks": lambda: compound.played_close_looks(1, 0.25),
    "kept-reports": meeting(compound.kept_for_the_next_leader, 1, 200.0),
    "up-at-once": meeting(compound.up_at_once, 1, 200.0),
    "handover-cancelled": meeting(compound.cancelled_in_a_handover, 1, 200.0),
    "odd-requests": meetings.test_odd_requests_get_the_protocols_answer_also_in_an_outage,
    # Services
    "services-all-killed": service(days.all_crash),
    "services-bad-machines": service(days.bad_machines),
    "services-answered": services.test_services_are_answered_like_any_job_and_never_done,
    # A roll from production, and limits that are lowered
    "roll": roll(rolls.nothing, 1),
    "roll-all-killed": roll(rolls.all_killed, 2),
    "roll-limits-fall": roll_with_services(rolls.leaders_in_turn, 1, 40.0),
    "chunks": lambda: upgrade.test_arrays_in_chunks_keep_the_rules_in_every_trouble(
        days.quick_restarts, 1
    ),
    "limits-fall": lambda: upgrade.test_the_limits_may_fall_while_records_are_cut(1),
    # Shares switched on
    "shares-idle": shares.test_idle_machines_go_at_once_and_work_there_starts_under_the_new_holder,
    "shares-plan": shares.test_the_plan_moves_half_of_the_machines_and_keeps_to_it,
    "shares-orders": shares.test_bad_orders_and_plans_are_refused_and_the_plan_in_force_stays,
    "shares-gang": shares.test_a_held_gang_is_released_whole_when_its_machine_is_drained,
    "shares-services": shares.test_services_move_first_and_are_served_meanwhile,
    "shares-crash": move(124, "crash", ["leader", "giver"], 1.5),
    "shares-hang": move(112, "hang", ["receiver"], 0.3),
    "shares-all-killed": moves_and(shares.all_killed, True),
    "shares-late-writes": moves_and(shares.writes_late, False),
    "shares-drawn-0": drawn_moves(0),
    "shares-drawn-3": drawn_moves(3),
    "shares-roll": lambda: versions.test_shares_begin_only_once_all_controllers_understand_them(
        "production"
    ),
    "shares-off": lambda: (
        versions.test_switched_off_in_mid_move_all_machines_come_to_rest_in_the_zones_part(6.0)
    ),
    # Without the network
    "large-part": large_part,
}
