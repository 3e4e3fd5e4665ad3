"""The operators' plan: which teams' work gets what fraction of which machines, and when.

A plan is a Starlark script that sets `shares`, as scripts and records call partitions. It is
refused whole if anything in it is wrong; the refusal is one line that names the field.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

import msgspec

from dapplewick.errors import DapplewickError
from dapplewick.script import ScriptError, assigned_lines, evaluate, read_script

SETTINGS = ("shares", "margin", "move_within_s", "hold_orders_s")
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,19}")
CLOCK = re.compile(r"([01]\d|2[0-3]):([0-5]\d)")
DAY_MINUTES = 24 * 60
MAX_PARTITIONS = 100
MAX_RULES = 200
MAX_WEIGHT = 1000.0
DAY_S = 86400.0


class PlanError(DapplewickError):
    """A plan can't be used, the one before it stays; the text is one line that names the field."""


class PartitionRule(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """What a partition gets of some types of machines.

    At least and at most these fractions of those that there are in each zone, and in between what
    its work wants. The first rule of a partition that holds for a type, a zone and a time of day
    counts.
    """

    types: list[str] = msgspec.field(name="types")
    least: float = 0.0
    most: float = 1.0
    zones: list[str] | None = None  # None: all
    hours: tuple[str, str] | None = None  # from and until, of the day in UTC; None: always

    def covers(self, type_: str, zone: str, minute: int) -> bool:
        """Whether it holds for machines of a type in a zone at a minute of the day."""
        if type_ not in self.types or (self.zones is not None and zone not in self.zones):
            return False
        if self.hours is None:
            return True
        begin, end = (minute_of(text) for text in self.hours)
        if begin <= end:
            return begin <= minute < end
        return minute >= begin or minute < end


class Partition(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """A partition of each zone: whose work it is for, and what it gets."""

    teams: list[str]
    rules: list[PartitionRule]
    weight: float = 1.0  # where there is too little for all, heavier partitions miss less

    def rule(self, type_: str, zone: str, minute: int) -> PartitionRule | None:
        """The rule that holds for machines of a type in a zone at a minute of the day."""
        return next((r for r in self.rules if r.covers(type_, zone, minute)), None)


class PartitionPlan(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """All partitions, and how they change."""

    partitions: dict[str, Partition] = msgspec.field(name="shares", default_factory=dict)
    margin: float = 0.1  # of a zone's machines of a type that a new plan must differ by
    move_within_s: float = 300.0  # a machine that is not empty by then is left where it is
    # The plan leaves alone for so long what an operator has moved.
    hold_commands_s: float = msgspec.field(name="hold_orders_s", default=3600.0)


def minute_of(text: str) -> int:
    """The minute of the day of a time of day like 03:30.

    Raises:
        PlanError: it is no time of day.
    """
    match = CLOCK.fullmatch(text)
    if match is None:
        raise PlanError(f"{text!r} is no time of day like 03:30")
    return int(match[1]) * 60 + int(match[2])


def parse(name: str, text: str) -> PartitionPlan:
    """Run a plan's script and check what can be checked without the deployment.

    Raises:
        PlanError: the script can't be run, or the plan is wrong.
    """
    try:
        assigned_lines(name, text, SETTINGS)
        values = evaluate(name, text, SETTINGS)
    except ScriptError as err:
        raise PlanError(str(err)) from None
    return convert(values, f"{name}: ")


def load(path: str) -> PartitionPlan:
    """Read and check a plan's file.

    Raises:
        PlanError: the file can't be read, or the plan is wrong.
    """
    try:
        text = read_script(path)
    except ScriptError as err:
        raise PlanError(str(err)) from None
    return parse(path, text)


def convert(values: object, place: str = "") -> PartitionPlan:
    """A plan of plain values, as a script sets them or a record keeps them.

    Raises:
        PlanError: the plan is wrong; the text begins with `place`.
    """
    try:
        plan = msgspec.convert(values, type=PartitionPlan)
    except msgspec.ValidationError as err:
        raise PlanError(f"{place}{_one_line(err)}") from None
    complaint = _complaint(plan)
    if complaint:
        raise PlanError(f"{place}{complaint}")
    return plan


def _one_line(error: msgspec.ValidationError) -> str:
    """The library's complaint with the field in front: it ends in "- at `$.shares`"."""
    reason, _, field = str(error).partition(" - at `$.")
    return f"{field.rstrip('`')}: {reason}" if field else reason


def _complaint(plan: PartitionPlan) -> str:
    """What is wrong with a plan, by itself; empty if nothing is."""
    if not 0.0 <= plan.margin <= 1.0:
        return "margin: must be from 0 to 1"
    if not 10.0 <= plan.move_within_s <= DAY_S:
        return "move_within_s: must be from 10 to 86400"
    if not 0.0 <= plan.hold_commands_s <= 7 * DAY_S:
        return "hold_orders_s: must be from 0 to 604800"
    if len(plan.partitions) > MAX_PARTITIONS:
        return f"shares: more than {MAX_PARTITIONS}"
    for name, partition in plan.partitions.items():
        complaint = _partition_complaint(name, partition)
        if complaint:
            return f"shares[{name!r}]{complaint}"
    return _sum_complaint(plan)


def _partition_complaint(name: str, partition: Partition) -> str:
    """What is wrong with one partition, with the field below it; empty if nothing is."""
    if NAME.fullmatch(name) is None:
        return ": a name has up to 20 of a-z, 0-9 and -"
    if not partition.teams or len(set(partition.teams)) < len(partition.teams):
        return ".teams: name each team once, and at least one"
    if not 0.0 < partition.weight <= MAX_WEIGHT:
        return f".weight: must be over 0 and at most {MAX_WEIGHT:g}"
    if not 0 < len(partition.rules) <= MAX_RULES:
        return f".rules: from 1 to {MAX_RULES} are needed"
    for number, rule in enumerate(partition.rules):
        complaint = _rule_complaint(rule)
        if complaint:
            return f".rules[{number}].{complaint}"
    return ""


def _rule_complaint(rule: PartitionRule) -> str:
    """What is wrong with one rule, its field in front; empty if nothing is."""
    if not rule.types:
        return "types: at least one is needed"
    if rule.zones is not None and not rule.zones:
        return "zones: at least one is needed, or none for all"
    if not 0.0 <= rule.least <= rule.most <= 1.0:
        return "least: must be from 0 to 1, and most from least to 1"
    if rule.hours is not None:
        for text in rule.hours:
            if CLOCK.fullmatch(text) is None:
                return f"hours: {text!r} is no time of day like 03:30"
    return ""


def _sum_complaint(plan: PartitionPlan) -> str:
    """Where the partitions are promised more than there is of a type in a zone, at some time."""
    rules = [rule for partition in plan.partitions.values() for rule in partition.rules]
    types = dict.fromkeys(type_ for rule in rules for type_ in rule.types)
    # A zone that no rule names stands for all the others.
    zones = dict.fromkeys(zone for rule in rules for zone in rule.zones or [])
    bounds = {minute_of(text) for rule in rules for text in rule.hours or ()}
    for minute in sorted(bounds | {0}):
        for type_ in types:
            for zone in [*zones, ""]:
                complaint = _promise_complaint(plan, type_, zone, minute)
                if complaint:
                    return complaint
    return ""


def _promise_complaint(plan: PartitionPlan, type_: str, zone: str, minute: int) -> str:
    """Which partition is promised what is promised to others; empty if none is."""
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
    """Say which name of a plan the deployment does not have; empty if it has them all.

    Args:
        plan: the plan.
        teams: those of the deployment.
        zones: those of the deployment.
        types: of machines that can be rented; None if they are not known yet.
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
