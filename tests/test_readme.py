"""The README's example stays true."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_readme_example_runs():
    text = (ROOT / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, re.S)
    assert len(blocks) == 1
    space = {}
    exec(compile(blocks[0], "README.md", "exec"), space)
    assert space["actions"] is not None and "assert" in blocks[0]


def test_ci_calls_the_readmes_test_command():
    assert "python -m pytest -q" in (ROOT / "README.md").read_text()
    assert "python -m pytest -q" in (ROOT / ".ci/run").read_text()
