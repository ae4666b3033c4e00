"""The bench adapter as a process, on a hand-written transcript."""

import io
import json
import subprocess
import sys
from pathlib import Path

import pytest

from harriertrack import wirehost

CONF = {
    "nInstances": 2, "tickUs": 2000, "discovery": "on_request", "future": {"unknown": 1},
    "lanes": [{"name": "read", "aimUs": 300000, "giveUpUs": 1500000, "idempotency": "read_like", "value": 2}],
    "contracts": [{"name": "p", "baseRate": 5, "reserve": 2, "shares": 1}],
    "permissions": {"sendCap": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 500000},
    "safety": {"drainGraceUs": 1000000, "fallUs": 1000000, "overloadFactor": 2, "startCapacity": 0.2},
    "familyInfo": {"usualUnits": 2, "mostUnits": 6, "coldUnits": 8}, "report": {"how": "silent", "fields": []},
}  # fmt: skip


def play(text):
    return subprocess.run(
        [sys.executable, "-m", "harriertrack.wirehost"], input=text, capture_output=True, text=True, timeout=60,
        cwd=Path(__file__).parent.parent, check=False,
    )  # fmt: skip


def start(instance, conf=None):
    return (
        f"select {instance}\ninit 7 {json.dumps(conf or CONF)}\npool 0 2\nrow shelf-a z k 0 IN 1 -\n"
        "row shelf-b z k 1 IN 1.5 -\ndirectory_update restored 1 0\n"
    )


def test_transcript():
    done = play(
        "begin_batch 10\neob\n\n"
        f"begin_batch 1000\n{start(3)}{start(5)}eob\n"
        "begin_batch 2000\nselect 3\nreq 77 1 1500000 read vol 0 key 1 p 2\nselect 5\n"
        "req 77 - 1500000 read vol 0 - 0 p -\neob\n"
        "begin_batch 30000\nselect 3\nreport_back 77 0 shelf-b pass 20000 1 - - -\nwake nothing\neob\n"
        f"begin_batch 40000\nselect 5\nstop\n{start(5)}req 78 1 1500000 read vol 0 key 0 p 2\neob\n"
    )
    assert (done.stderr, done.returncode) == ("", 0)
    replies = done.stdout.split("ok\n")
    assert replies[0] == "" and replies[-1] == "" and len(replies) == 6
    assert (
        replies[1] == "for 3\ntrack 1\nremind 60001000 60001000\nfor 5\ntrack 1\nremind 60001000 60001000\n"
    )
    assert (
        replies[2].startswith("for 3\nassign 77 shelf-b 0\n") and "for 5\nassign 77 shelf-a 0\n" in replies[2]
    )
    assert "assign" not in replies[3] and "bounce" not in replies[3]
    assert "for 3" not in replies[4] and "track 1\n" in replies[4] and "assign 78 shelf-a 0\n" in replies[4]


@pytest.mark.parametrize(("weights", "sized"), [
    ("nominal", True), ("rough", True), ("live", False), ("silent", False), (None, False), (3, False),
])  # fmt: skip
def test_list_rows_give_kinds_and_the_settings_say_whether_weights_are_sizes(weights, sized):
    served = wirehost.WireHost()
    conf = {**CONF, "weights": weights}
    out = io.StringIO()
    served.serve(f"begin_batch 1000\n{start(3, conf)}eob\n".splitlines(keepends=True), out)
    unit = served.instances[3]
    assert unit.settings.list_has_sizes is sized
    assert [(node.entry.kind, node.entry.size) for node in unit._nodes.values()] == [("k", 1.0), ("k", 1.5)]


def test_refusal_on_the_wire():
    done = play(
        f"begin_batch 1000\n{start(0)}eob\n"
        "begin_batch 2000\nselect 0\nreq 1 1 1500000 read vol 0 key 9 p 2\neob\n"
    )
    assert "for 0\nbounce 1 500000\n" in done.stdout


@pytest.mark.parametrize(
    ("text", "what"),
    [
        ("nonsense\n", "line 1"),
        ("begin_batch 1\nselect 0\nfrobnicate 1\neob\n", "frobnicate"),
        ("begin_batch 1\nselect 0\nreq 1 2\neob\n", "line 3"),
        ("begin_batch 1\nselect 0\nwake x\neob\n", "not running"),
        ("begin_batch 1\nselect 0\ninit 1 {}\neob\n", "lanes"),
        (f"begin_batch 1\n{start(0, {**CONF, 'nInstances': 0})}eob\n", "nInstances"),
        ("begin_batch 1\n", "ended inside"),
        (f"begin_batch 1\n{start(0)}report_back 1 0 shelf-a odd 1 1 - - -\neob\n", "odd"),
    ],
)
def test_bad_input_ends_with_a_one_line_message(text, what):
    done = play(text)
    assert done.returncode == 2 and done.stdout == ""
    assert what in done.stderr and done.stderr.count("\n") == 1 and "Traceback" not in done.stderr
