"""The command line of the testbed."""

from __future__ import annotations

import asyncio
import enum
import sys
from pathlib import Path

import click
import msgspec
from rich.console import Console

from testbed.errors import ExperimentError
from testbed.scale.experiment import run_experiment
from testbed.scale.plan import Plan, machine_memory_mb
from testbed.scale.report import Report
from testbed.scale.tables import print_report

QUICK_PLAN = Plan(
    simulated_gateways=60, real_gateways=2, endpoints=900, tenants=600, load_s=4.0, requests_per_s=10.0
)
MAX_LOAD_S = 300.0
MAX_MEMORY_FRACTION = 0.5  # an experiment may use half of the machine's memory
PIPE_WIDTH_COLUMNS = 150  # width of the tables if the output is not a terminal


class ExitStatus(enum.IntEnum):
    """Exit status of `python -m testbed`."""

    SUCCESS = 0
    EXPERIMENT_FAILED = 1
    USAGE_ERROR = 2
    INTERRUPTED = 130


@click.group()
def cli() -> None:
    """Run experiments on the gateway. All processes use only loopback addresses of this machine."""


@cli.command()
@click.option(
    "--gateways",
    "simulated_gateways",
    type=click.IntRange(1, 2000),
    help="Number of simulated gateways, which have no sockets for clients and endpoints.",
)
@click.option(
    "--real",
    "real_gateways",
    type=click.IntRange(0, 32),
    help="Number of real gateway processes, started by the deploy file's run command.",
)
@click.option(
    "--hosts",
    "endpoints",
    # With 36 endpoints, the smallest list of an experiment, a ninth of the largest, has plan.MIN_ENDPOINTS.
    type=click.IntRange(36, 50_000),
    help="Size of the largest endpoint list.",
)
@click.option(
    "--customers",
    "tenants",
    type=click.IntRange(1, 1_000_000),
    help="Number of tenants that requests belong to.",
)
@click.option(
    "--seconds", "load_s", type=click.FloatRange(1.0, MAX_LOAD_S), help="Duration of each load, in seconds."
)
@click.option(
    "--rate",
    "requests_per_s",
    type=click.FloatRange(0.1, 1000.0),
    help="Mean requests per second to each simulated gateway.",
)
@click.option(
    "--real-rate",
    "real_requests_per_s",
    type=click.FloatRange(0.1, 2000.0),
    help="Mean requests per second to each real gateway.",
)
@click.option(
    "--discovery-calls",
    "discovery_calls_per_s",
    type=click.FloatRange(1.0),
    help="Calls per second that discovery processes; used only with --asked.",
)
@click.option(
    "--skew",
    "traffic_share_shape",
    type=click.FloatRange(0.1, 1000.0),
    help="Shape parameter of the gateways' gamma-distributed traffic shares; 1000 makes them nearly even.",
)
@click.option(
    "--turned-away",
    "counter_rejected_fraction",
    type=click.FloatRange(0.0, 1.0),
    help="Fraction of the calls to the counter to reject while quotas are measured.",
)
@click.option(
    "--asked",
    "discovery_by_polling",
    is_flag=True,
    help="Let all gateways poll one discovery service, instead of an agent on each gateway's machine.",
)
@click.option("--seed", type=click.IntRange(1), help="Seed of all random generators.")
@click.option(
    "--json",
    "report_path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="File to write the report to, as JSON.",
)
@click.option(
    "--quick",
    is_flag=True,
    help="Run a small experiment of less than 60 s; other options override its parameters.",
)
def scale(report_path: Path | None, quick: bool, discovery_by_polling: bool, **options: float | None) -> None:
    """Measure a fleet with three sizes of its endpoint list, and fit a line to each figure that may grow."""
    plan = _create_plan(quick, discovery_by_polling, options)
    _check_memory(plan)
    if report_path is not None and not report_path.parent.is_dir():
        raise click.UsageError(f"--json: directory {report_path.parent} does not exist")
    console = Console(stderr=True)
    with console.status("starting") as status:
        report = run_experiment(plan, ["python", "-m", "testbed", *sys.argv[1:]], status.update)
    print_report(report, Console(width=None if sys.stdout.isatty() else PIPE_WIDTH_COLUMNS))
    if report_path is not None:
        _write_report(report, report_path)


def _create_plan(quick: bool, discovery_by_polling: bool, options: dict[str, float | None]) -> Plan:
    given_options = {name: value for name, value in options.items() if value is not None}
    if not quick and "simulated_gateways" not in given_options:
        raise click.UsageError("one of --gateways and --quick is required")
    base = QUICK_PLAN if quick else Plan(simulated_gateways=1)
    return msgspec.structs.replace(base, discovery_by_polling=discovery_by_polling, **given_options)


def _check_memory(plan: Plan) -> None:
    needed_mb = plan.estimated_memory_mb()
    limit_mb = MAX_MEMORY_FRACTION * machine_memory_mb()
    if needed_mb > limit_mb:
        raise click.UsageError(
            f"the experiment needs about {needed_mb:,.0f} MB of memory; the limit is {limit_mb:,.0f} MB, "
            "half of this machine's memory"
        )


def _write_report(report: Report, path: Path) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=2) + b"\n")


def main() -> int:
    """Run the command line, and print each error as one line on standard error.

    Returns:
        The exit status.
    """
    try:
        cli.main(standalone_mode=False, prog_name="python -m testbed")
    except click.exceptions.NoArgsIsHelpError as error:
        print(error.format_message())
        return ExitStatus.USAGE_ERROR
    except click.ClickException as error:
        print(f"testbed: {error.format_message()}".replace("\n", " "), file=sys.stderr)
        return ExitStatus.USAGE_ERROR
    except (ExperimentError, OSError) as error:
        print(f"testbed: {error}", file=sys.stderr)
        return ExitStatus.EXPERIMENT_FAILED
    except (asyncio.CancelledError, click.Abort, KeyboardInterrupt):
        print("testbed: interrupted; all processes are ended", file=sys.stderr)
        return ExitStatus.INTERRUPTED
    return ExitStatus.SUCCESS
