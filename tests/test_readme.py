"""What the README and CI say stays true."""

from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_ci_calls_the_readmes_test_command():
    first = (ROOT / "README.md").read_text()[:1200]
    assert "make run" in first and "make test" in first
    assert "make test" in (ROOT / ".ci/run").read_text()
