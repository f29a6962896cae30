"""Runs the tests of each mutation on a mutated copy of the code."""

import concurrent.futures
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from samphirepost_bench import mutations

WORKER_COUNT = 4
TEST_TIMEOUT_S = 300


def run(root, only):
    """Runs the mutations whose names contain `only`.

    Returns how many were not caught. A mutation is caught if its tests fail
    or time out; "misplaced" means that its `old` text does not occur exactly
    once, "not run" that pytest could not run the tests.
    """
    chosen = [m for m in mutations.ALL if only in m.name]
    with concurrent.futures.ThreadPoolExecutor(WORKER_COUNT) as pool:
        outcomes = list(pool.map(lambda m: _run_mutation(root, m), chosen))
    survivors = 0
    for mutation, outcome in zip(chosen, outcomes, strict=True):
        print(f"{outcome:<10}{mutation.name} ({mutation.tests})")
        survivors += outcome != "caught"
    print(f"{len(chosen) - survivors} caught, {survivors} not caught")
    return survivors


def _run_mutation(root, mutation):
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for name in ("packages", "tests"):
            shutil.copytree(root / name, copy / name)
        for name in ("pyproject.toml", "README.md"):
            if (root / name).exists():
                shutil.copy(root / name, copy / name)
        path = copy / "packages" / mutation.path
        text = path.read_text(encoding="utf-8")
        if text.count(mutation.old) != 1:
            return "misplaced"
        path.write_text(
            text.replace(mutation.old, mutation.new), encoding="utf-8"
        )
        return _run_tests(copy, mutation)


def _run_tests(copy, mutation):
    sources = [str(p) for p in (copy / "packages").glob("*/src")]
    env = dict(
        os.environ,
        PYTHONPATH=os.pathsep.join(sources),
        HYPOTHESIS_PROFILE="no-shrink",
    )
    argv = [sys.executable, "-m", "pytest", "-x", "-q"]
    argv += mutation.tests.split()
    try:
        result = subprocess.run(
            argv,
            cwd=copy,
            env=env,
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return "caught"
    if result.returncode == 1 or result.returncode < 0:
        return "caught"
    return "survived" if result.returncode == 0 else "not run"
