"""Invalid settings are rejected with an error that names the field."""

import pytest

from harriertrack.decisions import interface as api

READ = api.RequestClass("r", 1, 1)


@pytest.mark.parametrize(
    ("make", "field"),
    [
        (lambda: api.RequestClass("r", 0, 1), "aim_us"),
        (lambda: api.RequestClass("r", 1, -1), "deadline_us"),
        (lambda: api.RequestClass("r", 1, 1, worth="much"), "worth"),
        (lambda: api.Plan("p", reserve=-1), "reserve"),
        (lambda: api.Plan("p", limit=float("nan")), "limit"),
        (lambda: api.Settings(0, (READ,)), "heads"),
        (lambda: api.Settings(1, ()), "classes"),
        (lambda: api.Settings(1, (READ, READ)), "classes"),
        (lambda: api.Settings(1, (READ,), warm_us=-1), "warm_us"),
    ],
)
def test_errors_of_invalid_settings_name_the_field(make, field):
    with pytest.raises(ValueError, match=field):
        make()


def test_absent_settings_are_zero():
    assert api.Settings(1, (READ,)).budget_window_us == 0
