"""Commands for partitions, which the command line calls shares."""

from __future__ import annotations

import secrets
from typing import Any

import anyio
import click
import msgspec

from dapplewick import client
from dapplewick.cli.main import CommandError, InvalidInputError
from dapplewick.partitions import messages
from dapplewick.partitions.messages import (
    CancelCommand,
    MoveCommand,
    PlanCommand,
    ShowCommand,
    TransferDescription,
)
from dapplewick.partitions.plan import PlanError, load

NO_SHARE = "-"  # argument for the zone's default shard, whose machines are in no partition

at_option = click.option("--at", required=True, help="host:port of a controller's peer address.")
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")


class PartitionsReport(msgspec.Struct):
    """The fields of a controller's description of partitions that the text output shows."""

    targets_known: bool
    teams: dict[str, list[str]]
    machines: list[messages.MachineCount]
    transfers: list[TransferDescription]
    times: dict[str, messages.DurationSummary]


def _send_command(at: str, command: messages.Command) -> dict[str, Any]:
    """Send a command to a controller and return its answer.

    Raises:
        InvalidInputError: The controller rejected the command as invalid (status 4xx).
        CommandError: The controller is unreachable, or can't execute the command now.
    """

    async def request() -> dict[str, Any]:
        return await client.partitions(at, **messages.encode(command))

    try:
        answer = anyio.run(request)
    except client.ClientError as err:
        raise CommandError(str(err)) from None
    status = int(answer.get("status", 500))
    if status == 200:
        return answer
    error = str(answer.get("error", f"status {status}"))
    raise InvalidInputError(error) if 400 <= status < 500 else CommandError(error)


def _print(answer: dict[str, Any], as_json: bool, lines: list[str]) -> None:
    if as_json:
        lines = [msgspec.json.format(msgspec.json.encode(answer)).decode()]
    for line in lines:
        click.echo(line)


@click.command()
@at_option
@json_option
def show(at: str, as_json: bool) -> None:
    """Show the shares, their machines, and the transfers with the reasons for waiting."""
    answer = _send_command(at, ShowCommand())
    _print(answer, as_json, partition_lines(answer))


def _share_name(partition: str) -> str:
    return partition or "(no share)"


def partition_lines(answer: dict[str, Any]) -> list[str]:
    """Format a controller's description of partitions as lines of text."""
    report = msgspec.convert(answer, type=PartitionsReport)
    lines = []
    if not report.targets_known:
        lines.append("the plan has not been worked out yet; nothing moves for it")
    for name, teams in sorted(report.teams.items()):
        lines.append(f"share {name}  for {', '.join(teams)}")
    lines += map(_machine_line, report.machines)
    for transfer in report.transfers:
        lines += _transfer_lines(transfer)
    for name, times in sorted(report.times.items()):
        if times.count:
            lines.append(
                f"times of {name}  count {times.count:g}  p50 {times.p50_s:g} s  "
                f"p95 {times.p95_s:g} s  max {times.max_s:g} s"
            )
    return lines


def _machine_line(row: messages.MachineCount) -> str:
    target = "" if row.target is None else f"  of {row.target} planned"
    return f"{row.zone}  {_share_name(row.partition)}  {row.type}  {row.machines}{target}"


def _transfer_lines(transfer: TransferDescription) -> list[str]:
    lines = [
        f"transfer {transfer.id}  {transfer.zone}: {_share_name(transfer.source)} to "
        f"{_share_name(transfer.target)}  {transfer.type}  "
        f"{transfer.moved} of {transfer.count} moved  {transfer.state}"
    ]
    if transfer.left_s:
        lines[0] += f", {transfer.left_s:.0f} s left"
    for machine, reason in sorted(transfer.waits_for.items()):
        lines.append(f"  {machine}: {reason}")
    return lines


@click.command()
@at_option
@json_option
@click.option(
    "--reset", is_flag=True, help="Restore the plan given at the start of the controllers."
)
@click.option("--check", is_flag=True, help="Only validate the file; contacts no controller.")
@click.argument("file", required=False, type=click.Path())
def plan(at: str, as_json: bool, reset: bool, check: bool, file: str | None) -> None:
    """Show the current plan, or replace it by the plan in FILE, a Starlark script."""
    if file is None and not reset:
        answer = _send_command(at, ShowCommand())["plan"]
        _print(answer, True, [])
        return
    if file is not None and reset:
        raise InvalidInputError("--reset: can't be combined with a file")
    new_plan = None
    if file is not None:
        try:
            new_plan = msgspec.to_builtins(load(file))
        except PlanError as err:
            raise InvalidInputError(str(err)) from None
    if check:
        _print({"status": 200}, as_json, ["the plan can be read"])
        return
    answer = _send_command(at, PlanCommand(plan=new_plan))
    _print(answer, as_json, ["the plan is in force"])


@click.command()
@at_option
@json_option
@click.option("--zone", required=True)
@click.option("--type", "type_", required=True, help="Machine type.")
@click.option("--from", "source", required=True, help=f"Source share; {NO_SHARE} for no share.")
@click.option("--to", "target", required=True, help=f"Target share; {NO_SHARE} for no share.")
@click.option("--id", "command", help="Idempotency key: commands with the same id run once.")
@click.argument("count", type=int)
def move(
    at: str,
    as_json: bool,
    zone: str,
    type_: str,
    source: str,
    target: str,
    command: str | None,
    count: int,
) -> None:
    """Move COUNT machines from one share of a zone to another once their tasks have ended."""
    answer = _send_command(
        at,
        MoveCommand(
            id=command or f"o-{secrets.token_hex(6)}",
            zone=zone,
            type=type_,
            count=count,
            source="" if source == NO_SHARE else source,
            target="" if target == NO_SHARE else target,
        ),
    )
    _print(answer, as_json, [f"transfer {answer['id']}  {answer['state']}"])


@click.command()
@at_option
@json_option
@click.argument("transfer")
def cancel(at: str, as_json: bool, transfer: str) -> None:
    """Cancel a transfer; machines already moved stay in the target share."""
    answer = _send_command(at, CancelCommand(id=transfer))
    _print(answer, as_json, [f"transfer {answer['id']}  {answer['state']}"])


COMMANDS = (show, plan, move, cancel)
