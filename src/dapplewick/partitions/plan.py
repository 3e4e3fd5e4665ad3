"""The operators' plan: the fractions of machines that each team's work gets, by time of day.

A plan is a Starlark script that sets `shares`, the name of partitions in scripts and records. An
invalid plan is rejected as a whole, with a message of one line that names the invalid field.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

import msgspec

from dapplewick.errors import DapplewickError
from dapplewick.script import ScriptError, assigned_lines, evaluate, read_script

SETTINGS = ("shares", "margin", "move_within_s", "hold_orders_s")
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,19}")
CLOCK_PATTERN = re.compile(r"([01]\d|2[0-3]):([0-5]\d)")
DAY_MINUTES = 24 * 60
MAX_PARTITIONS = 100
MAX_RULES = 200
MAX_WEIGHT = 1000.0
DAY_S = 86400.0


class PlanError(DapplewickError):
    """A plan is invalid, and the previous plan stays in force; the message names the field."""


class PartitionRule(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """The minimum and maximum fractions of some machine types that a partition gets.

    The fractions `least` and `most` refer to all machines of a type in a zone; between these bounds
    a partition gets machines according to its demand. The first rule of a partition that covers a
    type, a zone and a time of day applies.
    """

    types: list[str] = msgspec.field(name="types")
    least: float = 0.0
    most: float = 1.0
    zones: list[str] | None = None  # None: all zones
    hours: tuple[str, str] | None = None  # start and end, as times of day in UTC; None: always

    def covers(self, type_: str, zone: str, minute: int) -> bool:
        """Whether the rule covers a machine type in a zone at a minute of the day in UTC."""
        if type_ not in self.types or (self.zones is not None and zone not in self.zones):
            return False
        if self.hours is None:
            return True
        start, end = (minute_of_day(text) for text in self.hours)
        if start <= end:
            return start <= minute < end
        return minute >= start or minute < end


class Partition(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """A partition of each zone: its teams, and its fractions of the machines."""

    teams: list[str]
    rules: list[PartitionRule]
    weight: float = 1.0  # a higher weight gives a smaller shortfall if machines are scarce

    def rule(self, type_: str, zone: str, minute: int) -> PartitionRule | None:
        """The rule that applies to a machine type in a zone at a minute of the day, if any."""
        return next((r for r in self.rules if r.covers(type_, zone, minute)), None)


class PartitionPlan(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """All partitions, and the limits on moves of machines between them."""

    partitions: dict[str, Partition] = msgspec.field(name="shares", default_factory=dict)
    margin: float = 0.1  # minimum change of targets, as a fraction of a zone's machines of a type
    move_within_s: float = 300.0  # a machine not empty by then stays in its partition
    # For this long after an operator's move, the plan moves no machines of its type and zone.
    hold_commands_s: float = msgspec.field(name="hold_orders_s", default=3600.0)


def minute_of_day(text: str) -> int:
    """Convert a time of day such as 03:30 to a minute of the day.

    Raises:
        PlanError: the text is not a time of day.
    """
    match = CLOCK_PATTERN.fullmatch(text)
    if match is None:
        raise PlanError(f"{text!r} is no time of day like 03:30")
    return int(match[1]) * 60 + int(match[2])


def parse(name: str, text: str) -> PartitionPlan:
    """Run a plan's script and validate the plan, except for names defined in the deployment.

    Raises:
        PlanError: the script fails or the plan is invalid.
    """
    try:
        assigned_lines(name, text, SETTINGS)
        values = evaluate(name, text, SETTINGS)
    except ScriptError as err:
        raise PlanError(str(err)) from None
    return convert(values, f"{name}: ")


def load(path: str) -> PartitionPlan:
    """Read a plan's file and validate the plan.

    Raises:
        PlanError: the file can't be read or the plan is invalid.
    """
    try:
        text = read_script(path)
    except ScriptError as err:
        raise PlanError(str(err)) from None
    return parse(path, text)


def convert(values: object, prefix: str = "") -> PartitionPlan:
    """Convert plain values, as set by a script or stored in a record, to a valid plan.

    Raises:
        PlanError: the plan is invalid; the message begins with `prefix`.
    """
    try:
        plan = msgspec.convert(values, type=PartitionPlan)
    except msgspec.ValidationError as err:
        raise PlanError(f"{prefix}{_one_line(err)}") from None
    problem = _plan_problem(plan)
    if problem:
        raise PlanError(f"{prefix}{problem}")
    return plan


def _one_line(error: msgspec.ValidationError) -> str:
    """Move the field from the end of a msgspec message ("- at `$.shares`") to its start."""
    reason, _, field = str(error).partition(" - at `$.")
    return f"{field.rstrip('`')}: {reason}" if field else reason


def _plan_problem(plan: PartitionPlan) -> str:
    """The first problem of a plan, regardless of the deployment; empty if it is valid."""
    if not 0.0 <= plan.margin <= 1.0:
        return "margin: must be from 0 to 1"
    if not 10.0 <= plan.move_within_s <= DAY_S:
        return "move_within_s: must be from 10 to 86400"
    if not 0.0 <= plan.hold_commands_s <= 7 * DAY_S:
        return "hold_orders_s: must be from 0 to 604800"
    if len(plan.partitions) > MAX_PARTITIONS:
        return f"shares: more than {MAX_PARTITIONS}"
    for name, partition in plan.partitions.items():
        problem = _partition_problem(name, partition)
        if problem:
            return f"shares[{name!r}]{problem}"
    return _first_overcommitment(plan)


def _partition_problem(name: str, partition: Partition) -> str:
    """The first problem of a partition, preceded by its field's path; empty if it is valid."""
    if NAME_PATTERN.fullmatch(name) is None:
        return ": a name has up to 20 of a-z, 0-9 and -"
    if not partition.teams or len(set(partition.teams)) < len(partition.teams):
        return ".teams: name each team once, and at least one"
    if not 0.0 < partition.weight <= MAX_WEIGHT:
        return f".weight: must be over 0 and at most {MAX_WEIGHT:g}"
    if not 0 < len(partition.rules) <= MAX_RULES:
        return f".rules: from 1 to {MAX_RULES} are needed"
    for number, rule in enumerate(partition.rules):
        problem = _rule_problem(rule)
        if problem:
            return f".rules[{number}].{problem}"
    return ""


def _rule_problem(rule: PartitionRule) -> str:
    """The first problem of a rule, preceded by its field's name; empty if it is valid."""
    if not rule.types:
        return "types: at least one is needed"
    if rule.zones is not None and not rule.zones:
        return "zones: at least one is needed, or none for all"
    if not 0.0 <= rule.least <= rule.most <= 1.0:
        return "least: must be from 0 to 1, and most from least to 1"
    if rule.hours is not None:
        for text in rule.hours:
            if CLOCK_PATTERN.fullmatch(text) is None:
                return f"hours: {text!r} is no time of day like 03:30"
    return ""


def _first_overcommitment(plan: PartitionPlan) -> str:
    """Describe the first overcommitment of any type, zone and time; empty if there is none."""
    rules = [rule for partition in plan.partitions.values() for rule in partition.rules]
    types = dict.fromkeys(type_ for rule in rules for type_ in rule.types)
    # The empty name stands for all zones that no rule lists: the same rules cover them.
    zones = dict.fromkeys(zone for rule in rules for zone in rule.zones or [])
    rule_boundaries = {minute_of_day(text) for rule in rules for text in rule.hours or ()}
    for minute in sorted(rule_boundaries | {0}):
        for type_ in types:
            for zone in [*zones, ""]:
                problem = _overcommitment(plan, type_, zone, minute)
                if problem:
                    return problem
    return ""


def _overcommitment(plan: PartitionPlan, type_: str, zone: str, minute: int) -> str:
    """Describe the partition whose minimum raises the sum of the minimums above 1.

    Empty if there is none.
    """
    total = 0.0
    for name, partition in plan.partitions.items():
        rule = partition.rule(type_, zone, minute)
        total += rule.least if rule is not None else 0.0
        if total > 1.0 + 1e-9:
            return (
                f"shares[{name!r}].rules: least: {total:g} of all {type_} is promised"
                f" in {zone or 'each zone'} at {minute // 60:02}:{minute % 60:02}"
            )
    return ""


def find_unknown_name(
    plan: PartitionPlan, teams: Iterable[str], zones: Iterable[str], types: Iterable[str] | None
) -> str:
    """Describe the first name in a plan that the deployment lacks; empty if there is none.

    Args:
        plan: the plan.
        teams: the names of the deployment's teams.
        zones: the names of the deployment's zones.
        types: the machine types that can be rented; None if the catalog is not known yet.
    """
    known_teams, known_zones = set(teams), set(zones)
    known_types = set(types) if types is not None else None
    for name, partition in plan.partitions.items():
        field = f"shares[{name!r}]"
        for team in partition.teams:
            if team not in known_teams:
                return f"{field}.teams: unknown team {team!r}"
        for number, rule in enumerate(partition.rules):
            for zone in rule.zones or ():
                if zone not in known_zones:
                    return f"{field}.rules[{number}].zones: unknown zone {zone!r}"
            for type_ in rule.types:
                if known_types is not None and type_ not in known_types:
                    return f"{field}.rules[{number}].types: unknown type {type_!r}"
    return ""
