"""The README and CI name the same test command."""

from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_ci_runs_the_readmes_test_command():
    beginning = (ROOT / "README.md").read_text()[:1200]
    assert "make run" in beginning and "make test" in beginning
    assert "make test" in (ROOT / ".ci/run").read_text()
