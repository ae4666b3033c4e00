"""KNOWN-RED.txt names at most three tests, each of which exists, with its cause and its issue."""

import pytest

from tests.known_red import ROOT, known_red, parse

LINE = "tests/test_x.py::test_y | stands still | 44"


def test_each_entry_names_a_test_that_exists():
    for test in known_red():
        path, _, name = test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text(), test


@pytest.mark.parametrize("text", [LINE + "\n" + LINE, "only a test", "a | | 44", "a | b | soon",
                                  "\n".join(f"{number} | b | 44" for number in range(4))])  # fmt: skip
def test_a_line_that_hides_something_is_an_error(text):
    with pytest.raises(ValueError):
        parse(text)


def test_a_line_is_read():
    entry = parse(LINE)["tests/test_x.py::test_y"]
    assert (entry.cause, entry.issue) == ("stands still", 44)
