"""The simulator adapter, run as a program with well-formed, malformed and truncated input."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SETTINGS = (
    "bounds.try_limit=4 bounds.cancel=true bounds.retry_after=true bounds.max_retry_after_ms=1000 "
    "family_info.may_count=true family_info.count_wait_ms=30 fleet_size=3 "
    "grades.count=1 grades.0.name=read grades.0.objective_ms=1000 grades.0.deadline_ms=4000 "
    "grades.0.worth=1 grades.0.effect=safe "
    "packages.count=1 packages.0.name=basic packages.0.refill=2 packages.0.burst=6 "
    "packages.0.over_cost=1 some.new.key=7 rules.cold_from=0.2 rules.cold_ms=10000 "
    "rules.fall_multiple=3 rules.tip_after_ms=2000 tick_ms=2 zone=a zones=a,b"
)


def opening_batch(*names: str) -> str:
    lines = ["BATCH 1000.0"]
    lines += [f"OPEN_INSTANCE {n} {7 + i} me={i} {SETTINGS}" for i, n in enumerate(names)]
    lines += ["CATALOG 0 2", "M 10.0.0.1:80 a std 0 up 1 -", "M 10.0.0.2:80 b std 1 up 1 -"]
    lines += [f"DIRECTORY_UPDATE {n} Persisted 1 0" for n in names]
    return "\n".join([*lines, "END", ""])


def batch(now_ms: float, *lines: str) -> str:
    return "\n".join([f"BATCH {now_ms}", *lines, "END", ""])


def run_simulator(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    return subprocess.run(
        [sys.executable, "-m", "api_gateway.simulator"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=env,
        check=False,
    )


def request_line(name: str, request_id: str, tenant: str = "key:c") -> str:
    return f"REQ {name} {request_id} read basic {tenant} 4000.0 1 3 0 0"


def test_requests_are_served_over_four_batches() -> None:
    """The name of the count and the endpoint are known from the output only, so the input is run in steps."""
    completed = run_simulator(
        "BATCH 900\nEND\n" + opening_batch("gateway/0") + batch(1010, request_line("gateway/0", "r-a"))
    )
    assert completed.returncode == 0 and completed.stderr == ""
    lines = completed.stdout.splitlines()
    assert lines[0] == "OK" and lines.count("OK") == 3
    count_name = re.search(r"ADD gateway/0 (\S+) \S+ \S+", completed.stdout)
    assert count_name and count_name[1].isascii() and len(count_name[1]) <= 64
    with_counter_value = run_simulator(
        "BATCH 900\nEND\n"
        + opening_batch("gateway/0")
        + batch(1010, request_line("gateway/0", "r-a"))
        + batch(1014, f"COUNTER_REPLY gateway/0 1 Ok 2.15 {count_name[1]}")
    )
    start_attempt = re.search(r"DELIVER gateway/0 r-a ([\d.]+) (10\.0\.0\.\d:80)", with_counter_value.stdout)
    assert start_attempt and 0 < float(start_attempt[1]) <= 1000
    with_response = run_simulator(
        "BATCH 900\nEND\n"
        + opening_batch("gateway/0")
        + batch(1010, request_line("gateway/0", "r-a"))
        + batch(1014, f"COUNTER_REPLY gateway/0 1 Ok 2.15 {count_name[1]}")
        + batch(
            1100,
            f"ENDED gateway/0 r-a 0 {start_attempt[2]} Ok 86.0 1 0 0 mean_ms:14.5,news:3",
            "CLIENT_LEFT gateway/0 r-a",
            "TICK_DUE gateway/0 sweep",
        )
    )
    assert with_response.returncode == 0
    assert "REFUSE" not in with_response.stdout and "GIVE_UP" not in with_response.stdout


@pytest.mark.parametrize(
    "line",
    [
        "REQ gateway/0 r-a read basic key:c 4000.0 1 3 0",
        "HELLO gateway/0",
        "TICK_DUE gateway/0",
        "REQ gateway/0 r-a read basic key:c soon 1 3 0 0",
        "REQ gateway/0 r-a read basic key:c nan 1 3 0 0",
        "ENDED gateway/0 r-a 0 h Odd 1 1 0 0 -",
        "ENDED gateway/0 r-a x h Ok 1 1 0 0 -",
        "CATALOG 1 1\nM a b",
        "DIRECTORY_UPDATE gateway/0 Complete 1 9",
        "INBOX gateway/0 1 zz",
        "",
    ],
)
def test_malformed_line_exits_with_one_line_on_stderr(line: str) -> None:
    completed = run_simulator(opening_batch("gateway/0") + f"BATCH 1010\n{line}\nEND\n")
    assert completed.returncode not in (0, 1)
    assert re.fullmatch(r"line \d+: .+\n", completed.stderr)
    assert "Traceback" not in completed.stderr
    assert completed.stdout.endswith("OK\n") and completed.stdout.count("OK") == 1


def test_truncated_input_exits_with_one_line_on_stderr() -> None:
    for text in (
        opening_batch("gateway/0") + "BATCH 1010\nREQ gate",
        opening_batch("gateway/0") + "BATCH 1010\n",
    ):
        completed = run_simulator(text)
        assert completed.returncode != 0 and completed.stderr.count("\n") == 1


def test_invalid_settings_are_reported_for_their_instance() -> None:
    completed = run_simulator("BATCH 1\nOPEN_INSTANCE gateway/0 5 fleet_size=0 grades.count=0\nEND\n")
    assert completed.returncode == 0
    assert completed.stdout == "BROKEN gateway/0 ValueError: classes: at least one is needed\nOK\n"


@pytest.mark.parametrize(
    ("setting", "text"),
    [
        ("grades.0.effect=odd", "classes[read].effect: 'odd' is not safe, keyed or unsafe"),
        ("grades.0.key_scope=odd", "classes[read].key_scope: 'odd' is not all, zone or cell"),
    ],
)
def test_unknown_enum_value_is_reported_for_its_instance(setting: str, text: str) -> None:
    completed = run_simulator(f"BATCH 1\nOPEN_INSTANCE gateway/0 5 {SETTINGS} {setting}\nEND\n")
    assert (completed.returncode, completed.stderr) == (0, "")
    assert completed.stdout == f"BROKEN gateway/0 ValueError: {text}\nOK\n"


def test_malformed_number_in_settings_names_its_key() -> None:
    completed = run_simulator(f"BATCH 1\nOPEN_INSTANCE gateway/0 5 {SETTINGS} rules.cold_ms=soon\nEND\n")
    assert (completed.returncode, completed.stdout) == (2, "")
    assert completed.stderr == "line 2: rules.cold_ms: bad number 'soon'\n"


def transcript(*names: str) -> str:
    text = opening_batch(*names)
    for step in range(60):
        now_ms = 30000 + 40 * step
        lines = [request_line(n, f"r-{n[-1]}{step}", f"key:c{step % 7}") for n in names]
        text += batch(now_ms, *lines, *(f"TICK_DUE {n} sweep" for n in names))
    return text


def test_actions_do_not_depend_on_hash_seed_or_on_other_instances() -> None:
    """Code that iterates over a set, or shares a random generator between instances, would break this."""
    together = run_simulator(transcript("gateway/0", "gateway/1")).stdout
    assert together.count("DELIVER") + together.count("ADD") > 20
    assert run_simulator(transcript("gateway/0", "gateway/1"), hash_seed="99").stdout == together
    alone = run_simulator(transcript("gateway/0")).stdout.splitlines()
    instance_lines = [x for x in together.splitlines() if " gateway/0 " in x]
    assert instance_lines == [x for x in alone if x != "OK"]
