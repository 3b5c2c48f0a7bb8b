"""The single-file executable serves as one process."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.processes import ProcessSystem, wait_until

ROOT = Path(__file__).parent.parent
BUILD_LIMIT_S = 300.0


@pytest.fixture(scope="module")
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    target = tmp_path_factory.mktemp("dist") / "hyssopweir"
    subprocess.run(
        ["make", "binary", f"BINARY={target}", f"PYTHON={sys.executable}"],
        cwd=ROOT,
        check=True,
        timeout=BUILD_LIMIT_S,
    )
    return target


def processes_of_session(session_id: int) -> list[int]:
    found: list[int] = []
    for entry in Path("/proc").iterdir():
        try:
            if entry.name.isdigit() and os.getsid(int(entry.name)) == session_id:
                found.append(int(entry.name))
        except ProcessLookupError:
            continue
    return found


def test_binary_serves_as_one_process(
    binary: Path,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a packaged loader that forks, and against missing files."""
    monkeypatch.setenv("SHIV_ROOT", str(tmp_path / "unpacked"))
    system = ProcessSystem(tmp_path, [sys.executable, str(binary)])
    try:
        system.start_platform()
        system.start_workers()
        system.start_instance("kista")
        system.wait_ready("kista")
        session_id = system.processes["kista"].pid
        assert processes_of_session(session_id) == [session_id]
        assert system.terminate("kista") == 0
        wait_until(
            lambda: not processes_of_session(session_id), "the process has ended"
        )
    finally:
        system.close()
