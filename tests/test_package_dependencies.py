"""Which packages may import which: product code never the test kit, lower packages never upper ones."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "lichencleat"
TENANTS = {
    "leases",
    "quotas",
    "recovery",
    "failover",
    "config_distribution",
    "coordinator",
    "node",
    "router",
    "cli",
}
FORBIDDEN = {
    "transport": TENANTS | {"consensus", "store", "config"},
    "consensus": TENANTS | {"config"},
    "coordinator": {"node", "router", "cli"},
}


def imported_packages(file):
    """Return the packages of this project that a file imports, also inside functions."""
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [f"{node.module}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        found |= {name.split(".")[1] for name in names if name.startswith("lichencleat.")}
    return found


def test_product_code_never_imports_the_test_kit():
    files = [file for file in ROOT.rglob("*.py") if "testkit" not in file.relative_to(ROOT).parts]
    assert files and not [file for file in files if "testkit" in imported_packages(file)]


@pytest.mark.parametrize("package", FORBIDDEN)
def test_package_imports_no_package_above_it(package):
    files = list((ROOT / package).rglob("*.py"))
    wrong = {file.name: imported_packages(file) & FORBIDDEN[package] for file in files}
    assert files and not {name: packages for name, packages in wrong.items() if packages}
