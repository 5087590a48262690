"""What the modules of the decisions may import, and their size limits."""

from __future__ import annotations

import ast
import sys
import tomllib

from support.http_fakes import ROOT

FORBIDDEN_MODULES = {
    "time",
    "datetime",
    "socket",
    "select",
    "asyncio",
    "threading",
    "subprocess",
    "os",
    "secrets",
    "uuid",
}

MAX_MODULE_LINES = 300  # without blank lines

MAX_FUNCTION_LINES = 45


def test_decisions_import_nothing_but_the_model_and_the_standard_library() -> None:
    """No clock, socket, thread or process, and randomness only from `Random` objects that are passed in."""
    package = ROOT / "api_gateway"
    for file in (*(package / "decisions").glob("*.py"), *(package / "model").glob("*.py")):
        for node in ast.walk(ast.parse(file.read_text())):
            names = [a.name for a in node.names] if isinstance(node, ast.Import) else []
            names += [node.module] if isinstance(node, ast.ImportFrom) else []
            for name in names:
                is_project_module = name.startswith(("api_gateway.model.", "api_gateway.decisions."))
                assert is_project_module or name.split(".")[0] in sys.stdlib_module_names
                assert name.split(".")[0] not in FORBIDDEN_MODULES, f"{file.name} imports {name}"
            if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
                assert node.value.id != "random" or node.attr == "Random", file.name


def test_decision_files_stay_small() -> None:
    """Limits the lines of modules and functions and the length of lines, and checks the list of modules."""
    files = [ROOT / name for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]]
    assert set(files) == {
        f for f in (ROOT / "api_gateway" / "decisions").glob("*.py") if f.stem != "__init__"
    }
    for file in files:
        lines = file.read_text().splitlines()
        assert max(map(len, lines)) <= 110
        assert sum(1 for line in lines if line.strip()) <= MAX_MODULE_LINES
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.FunctionDef):
                assert node.end_lineno - node.lineno < MAX_FUNCTION_LINES, node.name
