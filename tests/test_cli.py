"""Tests the output and the exit statuses of the command line."""

import io
import json

import pytest

from samphirepost_bench import fleet as fleet_module
from samphirepost_cli import core
from samphirepost_cli import environment
from samphirepost_cli import exits
from tests import test_tables


def run(*argv):
    """Runs a command; returns its status, standard output and error."""
    env = environment.Environment(
        io.StringIO(), io.StringIO(), io.StringIO(), {}
    )
    status = core.run(env, list(argv))
    return status, env.stdout.getvalue(), env.stderr.getvalue()


@pytest.fixture
def files(tmp_path):
    """Returns the paths of valid routes and pools tables."""
    target = test_tables.TargetRow()
    routes = tmp_path / "routes.json"
    pools = tmp_path / "pools.json"
    routes.write_text("// why\n" + json.dumps(fleet_module.routes_table()))
    pools_table = fleet_module.pools_table([target], [target], [target])
    pools.write_text(json.dumps(pools_table))
    return str(routes), str(pools)


def test_check_accepts_valid_tables(files):
    status, stdout, _ = run("check", *files)
    assert status == exits.Exit.OK
    assert stdout == "both tables are good\n"


def test_bad_table_is_one_plain_line_with_file_path_and_reason(
    files, tmp_path
):
    bad = tmp_path / "bad.json"
    bad.write_text('{"pools": {"p": {"targets": 5}}}')
    status, stdout, stderr = run("check", files[0], str(bad))
    assert status == exits.Exit.USAGE
    assert stdout == ""
    assert stderr.count("\n") == 1
    assert "bad.json" in stderr
    assert "$.pools[...].targets" in stderr


def test_missing_file_is_reported(files):
    status, _, stderr = run("check", files[0], "/nowhere/pools.json")
    assert status == exits.Exit.USAGE
    assert "/nowhere/pools.json" in stderr


def test_unreachable_daemon_is_reported_with_advice(tmp_path):
    cfg = tmp_path / "samphirepost.json"
    port = fleet_module.free_port()
    cfg.write_text(json.dumps({"operator": f"http://127.0.0.1:{port}"}))
    status, _, stderr = run("show", "--config", str(cfg))
    assert status == exits.Exit.UNREACHABLE
    assert "is the daemon running?" in stderr
    assert "not run" in stderr


def test_unknown_field_of_the_config_is_refused(tmp_path):
    cfg = tmp_path / "samphirepost.json"
    cfg.write_text('{"onlin": "http://127.0.0.1:1"}')
    status, _, stderr = run("show", "--config", str(cfg))
    assert status == exits.Exit.USAGE
    assert "onlin" in stderr


@pytest.mark.parametrize("argv", [["--help"], ["submit", "--help"]])
def test_help_has_an_example_or_the_commands(argv, capsys):
    with pytest.raises(SystemExit) as exit_info:
        run(*argv)
    assert exit_info.value.code == exits.Exit.OK
    stdout = capsys.readouterr().out
    assert "Example" in stdout or "Operators use" in stdout


LOG = """\
  8.5 front-1 {"at":"2026-01-01T00:00:08","vm":"vm1","event":"request.ended",\
"request":"r1","status":503,"reason":"all engines are busy","revision":7}
not json at all "r1"
  8.1 front-1 {"at":"2026-01-01T00:00:07","vm":"vm1",\
"event":"attempt.failed","request":"r1","engine":"e2","seen":"refused"}
  8.2 front-1 {"at":"2026-01-01T00:00:07","vm":"vm1",\
"event":"request.ended","request":"r2"}
"""


def test_a_request_is_explained_from_the_logs(tmp_path):
    path = tmp_path / "vm.log"
    path.write_text(LOG)
    status, stdout, _ = run("explain", "r1", str(path))
    assert status == exits.Exit.OK
    first, second = stdout.splitlines()
    assert "attempt.failed" in first
    assert 'seen="refused"' in first
    assert "revision=7" in second
    status, stdout, _ = run("explain", "r1", str(path), "--json")
    assert [step["event"] for step in json.loads(stdout)] == [
        "attempt.failed",
        "request.ended",
    ]


def test_explain_fails_for_an_id_in_no_log_line(tmp_path):
    path = tmp_path / "vm.log"
    path.write_text(LOG)
    status, stdout, stderr = run("explain", "r9", str(path))
    assert status == exits.Exit.REFUSED
    assert stdout == ""
    assert "no log entry for r9" in stderr
