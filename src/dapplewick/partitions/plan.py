"""The operators' plan: which teams' work gets what part of which machines, and when.

A plan is a Starlark script that sets `shares`. It is refused whole if anything in it is wrong; the
refusal is one line that names the field.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Any

import msgspec

from dapplewick.errors import DapplewickError
from dapplewick.script import ScriptError, assigned_lines, evaluate, read_script

SETTINGS = ("shares", "margin", "move_within_s", "hold_orders_s")
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,19}")
CLOCK = re.compile(r"([01]\d|2[0-3]):([0-5]\d)")
DAY_MINUTES = 24 * 60
MAX_PARTITIONS = 100
RULES_MOST = 200
WEIGHT_MOST = 1000.0


class PlanError(DapplewickError):
    """A plan can't be used, the one before it stays; the text is one line that names the field."""


class PartitionRule(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """What a share gets of some types of machines: at least and at most these parts of those that
    there are in each zone, and in between what its work wants. The first rule of a share that
    holds for a type, a zone and a time of day counts."""

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
    """A share: whose work it is for, and what it gets."""

    teams: list[str]
    rules: list[PartitionRule]
    weight: float = 1.0  # where there is too little for all, heavier shares miss less

    def rule(self, type_: str, zone: str, minute: int) -> PartitionRule | None:
        """The rule that holds for machines of a type in a zone at a minute of the day."""
        return next((r for r in self.rules if r.covers(type_, zone, minute)), None)


class PartitionPlan(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """All shares, and how they change."""

    partitions: dict[str, Partition] = msgspec.field(name="shares", default_factory=dict)
    margin: float = 0.1  # of a zone's machines of a type that a new plan must differ by
    move_within_s: float = 300.0  # a machine that is not empty by then is left where it is
    hold_orders_s: float = 3600.0  # the plan leaves alone for so long what an operator has moved


def minute_of(text: str) -> int:
    """The minute of the day of a time of day like 03:30."""
    match = CLOCK.fullmatch(text)
    if match is None:
        raise PlanError(f"{text!r} is no time of day like 03:30")
    return int(match[1]) * 60 + int(match[2])


def parse(name: str, text: str) -> PartitionPlan:
    """Run a plan's script and check what can be checked without the deployment."""
    try:
        assigned_lines(name, text, SETTINGS)
        values = evaluate(name, text, SETTINGS)
    except ScriptError as err:
        raise PlanError(str(err)) from None
    return convert(values, f"{name}: ")


def load(path: str) -> PartitionPlan:
    """Read and check a plan's file."""
    try:
        text = read_script(path)
    except ScriptError as err:
        raise PlanError(str(err)) from None
    return parse(path, text)


def convert(values: Any, place: str = "") -> PartitionPlan:
    """A plan of plain values, as a script sets them or a record keeps them."""
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
    if not 10.0 <= plan.move_within_s <= 86400.0:
        return "move_within_s: must be from 10 to 86400"
    if not 0.0 <= plan.hold_orders_s <= 7 * 86400.0:
        return "hold_orders_s: must be from 0 to 604800"
    if len(plan.partitions) > MAX_PARTITIONS:
        return f"shares: more than {MAX_PARTITIONS}"
    for name, partition in plan.partitions.items():
        field = f"shares[{name!r}]"
        if NAME.fullmatch(name) is None:
            return f"{field}: a name has up to 20 of a-z, 0-9 and -"
        if not partition.teams or len(set(partition.teams)) < len(partition.teams):
            return f"{field}.teams: name each team once, and at least one"
        if not 0.0 < partition.weight <= WEIGHT_MOST:
            return f"{field}.weight: must be over 0 and at most {WEIGHT_MOST:g}"
        if not 0 < len(partition.rules) <= RULES_MOST:
            return f"{field}.rules: from 1 to {RULES_MOST} are needed"
        for number, rule in enumerate(partition.rules):
            complaint = _rule_complaint(rule)
            if complaint:
                return f"{field}.rules[{number}].{complaint}"
    return _sum_complaint(plan)


def _rule_complaint(rule: PartitionRule) -> str:
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
    """Whether the shares ask for more than there is of some type, in a zone, at some time."""
    rules = [rule for partition in plan.partitions.values() for rule in partition.rules]
    types = dict.fromkeys(type_ for rule in rules for type_ in rule.types)
    # A zone that no rule names stands for all the others.
    zones = dict.fromkeys(zone for rule in rules for zone in rule.zones or [])
    bounds = {minute_of(text) for rule in rules for text in rule.hours or ()}
    for minute in sorted(bounds | {0}):
        for type_ in types:
            for zone in [*zones, ""]:
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


def unknown_names(
    plan: PartitionPlan, teams: Iterable[str], zones: Iterable[str], types: Iterable[str] | None
) -> str:
    """The first team, zone or type of a plan that the deployment does not have; empty if there is
    none. Types are not looked at where they are not known yet."""
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
