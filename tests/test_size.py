"""The module stays one compact file, and decisions stay in it."""

from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_module_stays_within_its_lines():
    lines = (ROOT / "harriertrack/scheduler.py").read_text().splitlines()
    assert 100 < sum(1 for line in lines if line.strip()) <= 650
    assert max(len(line) for line in lines) <= 110


def test_module_needs_the_standard_library_alone():
    text = (ROOT / "pyproject.toml").read_text()
    assert "dependencies = []" in text
