"""KNOWN-RED.txt lists at most three tests; each exists and has a cause and an issue."""

import pytest

from tests.known_red import ROOT, known_red, parse

LINE = "tests/test_x.py::test_y | stands still | 44"


def test_each_entry_names_an_existing_test():
    for test in known_red():
        path, _, name = test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text(), test


@pytest.mark.parametrize("text", [LINE + "\n" + LINE, "only a test", "a | | 44", "a | b | soon",
                                  "\n".join(f"{number} | b | 44" for number in range(4))])  # fmt: skip
def test_invalid_or_too_many_lines_are_rejected(text):
    with pytest.raises(ValueError):
        parse(text)


def test_a_valid_line_is_parsed():
    entry = parse(LINE)["tests/test_x.py::test_y"]
    assert (entry.cause, entry.issue) == ("stands still", 44)
