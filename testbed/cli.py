"""The command line of the testbed."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click
import msgspec
from rich.console import Console

from testbed import scale as scale_run
from testbed.children import ChildError
from testbed.plan import Plan
from testbed.report import show

QUICK = Plan(gateways=60, real=2, hosts=900, customers=600, seconds=4.0, rate=10.0)
MOST_SECONDS = 300.0


@click.group()
def cli() -> None:
    """Experiments on the gateway, on this machine's loopback addresses alone."""


@cli.command()
@click.option("--gateways", type=click.IntRange(1, 2000), help="Hollow gateways: the module without sockets.")
@click.option(
    "--real", type=click.IntRange(0, 32), help="Real gateways beside them, by the deploy file's run."
)
@click.option("--hosts", type=click.IntRange(36, 50_000), help="The largest list of hosts.")
@click.option("--customers", type=click.IntRange(1, 1_000_000), help="Customers that requests belong to.")
@click.option("--seconds", type=click.FloatRange(1.0, MOST_SECONDS), help="How long each load lasts.")
@click.option("--rate", type=click.FloatRange(0.1, 1000.0), help="Requests a second of each gateway.")
@click.option("--real-rate", type=click.FloatRange(0.1, 2000.0), help="Requests a second of a real one.")
@click.option("--discovery-calls", type=click.FloatRange(1.0), help="A second, where it must be asked.")
@click.option(
    "--skew", type=click.FloatRange(0.1, 1000.0), help="Shape of the gateways' shares; 1000 is even."
)
@click.option(
    "--turned-away", type=click.FloatRange(0.0, 1.0), help="Part of the counter's calls, for quotas."
)
@click.option("--asked", is_flag=True, help="The list comes only on request.")
@click.option("--seed", type=click.IntRange(1), help="Of all that is drawn.")
@click.option(
    "--json", "path", type=click.Path(dir_okay=False, path_type=Path), help="Write the report here."
)
@click.option("--quick", is_flag=True, help="A small run within 60 s; other options go before its own.")
def scale(path: Path | None, quick: bool, asked: bool, **options: float | None) -> None:
    """Play a fleet at three sizes of its list of hosts, and fit what grows with it."""
    given = {name: value for name, value in options.items() if value is not None}
    if not quick and "gateways" not in given:
        raise click.UsageError("--gateways is needed, or --quick")
    base = QUICK if quick else Plan(gateways=1)
    plan = msgspec.structs.replace(base, asked=asked, **given)
    needed, half = scale_run.memory_needed_mb(plan), scale_run.machine_memory_mb() / 2
    if needed > half:
        raise click.UsageError(
            f"about {needed:,.0f} MB are needed, half of this machine's memory is {half:,.0f}"
        )
    if path is not None and not path.parent.is_dir():
        raise click.UsageError(f"--json: there is no folder {path.parent}")
    console = Console(stderr=True)
    with console.status("starting") as status:

        def say(text: str) -> None:
            status.update(text)

        report = scale_run.play(plan, ["python", "-m", "testbed", *sys.argv[1:]], say)
    show(report, Console(width=None if sys.stdout.isatty() else 150))
    if path is not None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=2) + b"\n")


def main() -> int:
    """0 after a whole run; 2 with one plain line for bad arguments; 1 where a run fails; 130 after Ctrl-C."""
    try:
        cli.main(standalone_mode=False, prog_name="python -m testbed")
    except click.exceptions.NoArgsIsHelpError as error:
        print(error.format_message())
        return 2
    except click.ClickException as error:
        print(f"testbed: {error.format_message()}".replace("\n", " "), file=sys.stderr)
        return 2
    except (ChildError, OSError) as error:
        print(f"testbed: {error}", file=sys.stderr)
        return 1
    except (asyncio.CancelledError, click.Abort, KeyboardInterrupt):
        print("testbed: ended before its time; all processes are ended", file=sys.stderr)
        return 130
    return 0
