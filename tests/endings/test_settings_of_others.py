"""Settings of other customers: unusual but valid ones are served, invalid ones are refused with their field."""

import copy
import json
import os

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from harriertrack.decisions.graceful_shutdown import Phase
from harriertrack.service.configuration import ConfigurationError, read_configuration
from harriertrack.service.head import PlatformHead
from tests.test_platform import MS, Site

MAX_SHUTDOWN_US = 3_700 * MS
READY = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"


class Customer(Site):
    """A site with changed settings; `written` returns the bytes of the file, None for no file."""

    def __init__(self, tmp_path, change=lambda given: None):
        self.change = change
        self.written = lambda: json.dumps(self.given).encode()
        super().__init__(tmp_path)

    def configuration(self):
        self.change(self.given)
        self.change, text = lambda given: None, self.written()
        if text is not None:
            self.path.write_bytes(text)
        return read_configuration({"PROXY_NAME": "n1", "PROXY_LISTEN": str(self.given.get("listen")), "PROXY_DISCOVERY": "x:1",
                     "PROXY_CONFIG": str(self.path)})  # fmt: skip

    def start_head(self, configuration):
        self.head = PlatformHead(self.hub, self.net, configuration, self.note, self.module)


def lanes(count, **more):
    return [{"name": "look", "aimUs": 300 * MS, "giveUpUs": 1500 * MS, "idempotency": "read_like", **more},
            *({"name": f"c{number}", "aimUs": 300 * MS, "giveUpUs": 1500 * MS} for number in range(1, count))]  # fmt: skip


def without(group, *keys):
    """Return a change that removes these fields of a group (all, if none is named)."""

    def change(given):
        part = given["settings"][group]
        for key in keys or list(part):
            part.pop(key, None)

    return change


def put(**fields):
    """Return a change that sets fields: "field" or "group__field" of the settings, or "limits__field"."""

    def change(given):
        for name, value in fields.items():
            group, _, key = name.rpartition("__")
            part = (
                given["limits"]
                if group == "limits"
                else given["settings"][group]
                if group
                else given["settings"]
            )
            part[key] = value

    return change


def nulls(given):
    """Set every optional field to null."""
    settings_ = given["settings"]
    for group in ("permissions", "safety", "familyInfo"):
        settings_[group] = dict.fromkeys(settings_[group])
    settings_ |= {"contracts": None, "report": None, "locality": None, "localities": None, "tickUs": None}
    settings_["lanes"][0] |= {
        "value": None,
        "lateShare": None,
        "keyTtlUs": None,
        "group": None,
        "inOrder": None,
    }
    for server in given["known"]["servers"]:
        server |= {"zone": None, "started_ms": None, "kind": None, "weight": None}


def short(given):
    for lane in given["settings"]["lanes"]:
        lane |= {"aimUs": 80 * MS, "giveUpUs": 400 * MS}


def long(given):
    given["settings"]["lanes"][1] |= {"aimUs": 2_000 * MS, "giveUpUs": 9_000 * MS}


VALID = {
    "absent": lambda given: [without(group)(given) for group in ("permissions", "safety", "familyInfo")],
    "no groups": lambda given: [given["settings"].pop(key) for key in ("permissions", "safety", "familyInfo")],
    "null": nulls,
    "one class": put(lanes=lanes(1)),
    "thirty classes": put(lanes=lanes(30), familyInfo__classWrites=[False] * 30),
    "null effect": put(lanes=lanes(2, idempotency=None), familyInfo__classWrites=[False, False]),
    "plan without a limit": put(contracts=[{"name": "gold", "ceilingRate": 0, "mostAtOnce": None}]),
    "no plans": put(contracts=[]),
    "no zones": put(locality="", localities=[]),
    "zero grace": put(safety__drainGraceUs=0),
    "zero windows": put(safety__fallUs=0, safety__warmAfterUs=0, safety__askWithinUs=0, safety__ratioSpanUs=0,
                        permissions__connIdleUs=0, permissions__dialTimeoutUs=0, familyInfo__usePeriodUs=0,
                        familyInfo__usualUnits=0, familyInfo__mostUnits=0, tickUs=0),
    "zero key window": lambda given: given["settings"]["lanes"][1].update(keyTtlUs=0),
    "192 MB and 1,024 descriptors": put(limits__memory_mb=192, limits__sockets=1024),
    "32 MB and 64 descriptors": put(limits__memory_mb=32, limits__sockets=64, limits__cores=0.05),
    "null limits": put(limits__memory_mb=None, limits__cores=None),
    "pushed": put(discovery="pushed"),
    "pushed, zero grace": put(discovery="pushed", safety__drainGraceUs=0),
    "deadlines under 1 s": short,
    "deadlines over 3 s": long,
    "one instance, one attempt": put(permissions__sendCap=1, permissions__mayCancel=False, permissions__retryAfter=False),
}  # fmt: skip


def plan_of(site):
    """Return the plan to name in a request's header; None if the settings have no plans."""
    return "gold" if site.given["settings"].get("contracts") else None


def check_lifecycle(site):
    """Check that a head starts, serves a read and (if it has the class) a write, refuses others, and shuts down."""

    def act(site):
        assert site.ask(READY)[0] == 200
        plan = plan_of(site)
        stream = site.connect()
        for _ in range(2):
            read = site.request(**{"X-Qos-Policy": plan, "X-Expires-In-Ms": "380"})
            assert site.ask(read, stream)[0] == 200
            site.hub.sleep(10 * MS)
        if any(lane["name"] == "note" for lane in site.given["settings"]["lanes"]):
            assert site.ask(site.request(True, **{"X-Qos-Policy": plan, "X-Expires-In-Ms": "380"}))[0] == 200
        site.discovery.set_server("s1", site.shelfs[1].address, 1, "terminated")
        site.hub.sleep(20 * MS)
        assert site.ask(site.request(**{"X-Qos-Policy": plan}))[0] == 503
        assert site.ask(site.request(path="/nothing"))[0] == 404
        stopped_at = site.hub.now()
        site.head.stop()
        while site.head.shutdown.phase is not Phase.ENDED:
            site.hub.sleep(10 * MS)
        assert site.hub.now() - stopped_at < MAX_SHUTDOWN_US

    site.run(act)


@pytest.mark.parametrize("kind", VALID)
def test_a_head_serves_under_the_settings_of_another_customer(tmp_path, kind):
    site = Customer(tmp_path, change=VALID[kind])
    check_lifecycle(site)


INVALID = [
    (put(lanes=[]), "settings.lanes"),
    (put(lanes=None), "settings.lanes"),
    (put(lanes={"a": 1}), "settings.lanes"),
    (put(lanes=[3]), "settings.lanes[0]"),
    (put(lanes=lanes(1, idempotency="sometimes")), "settings.lanes[0].idempotency"),
    (put(lanes=lanes(1, idempotency=["read_like"])), "settings.lanes[0].idempotency"),
    (put(lanes=lanes(1, group="moon")), "settings.lanes[0].group"),
    (put(lanes=lanes(1, giveUpUs=None)), "settings.lanes[0].giveUpUs"),
    (put(lanes=lanes(1, aimUs="300")), "settings.lanes[0].aimUs"),
    (put(lanes=lanes(2, name="c1")), "settings.lanes[1].name"),
    (put(lanes=lanes(1, name=None)), "settings.lanes[0].name"),
    (put(contracts=[{"name": "gold", "reserve": -1}]), "settings.contracts[0].reserve"),
    (put(contracts={"name": "gold"}), "settings.contracts"),
    (put(permissions=[1]), "settings.permissions"),
    (put(safety="none"), "settings.safety"),
    (put(safety__askWithinUs="5"), "settings.safety.askWithinUs"),
    (put(permissions__mayCancel="no"), "settings.permissions.mayCancel"),
    (put(nInstances=None), "settings.nInstances"),
    (put(nInstances=1e300), "settings.nInstances"),
    (put(limits__memory_mb=1e308), "limits.memory_mb"),
    (put(limits__sockets=63), "limits.sockets"),
    (put(report=["queue"]), "settings.report"),
    (lambda given: given.update(settings=None), "settings"),
    (lambda given: given.update(known=[]), "known"),
    (lambda given: given.update(listen=7), "listen"),
    (lambda given: given.update(discovery="x" * 9999), "discovery"),
]  # fmt: skip


@pytest.mark.parametrize(("change", "field"), INVALID)
def test_invalid_settings_are_refused_in_one_line_with_file_and_field(tmp_path, change, field):
    site = Customer(tmp_path)
    change(site.given)
    assert_refused(site, field)


def assert_refused(site, *words):
    with pytest.raises(ConfigurationError) as caught:
        site.configuration()
    text = str(caught.value)
    assert all(word in text for word in ("config.json", *words)) and "\n" not in text and len(text) < 600


TEXTS = [
    b"",
    b"{",
    b"[]",
    b"null",
    b"\xff\xfe",
    b"[" * 100_000,
    b'{"settings":' * 100_000,
    b"NaN",
    b" " * (9 << 20),
]


@pytest.mark.parametrize("text", TEXTS, ids=[repr(text[:12]) for text in TEXTS])
def test_a_file_without_a_configuration_is_refused_in_one_line(tmp_path, text):
    site = Customer(tmp_path)
    site.written = lambda: text
    assert_refused(site)


def test_a_half_written_file_is_refused_wherever_it_ends(tmp_path):
    site = Customer(tmp_path)
    complete = json.dumps(site.given).encode()
    for end in range(0, len(complete), 41):
        site.written = lambda end=end: complete[:end]
        assert_refused(site)


def test_a_directory_and_a_missing_file_are_refused(tmp_path):
    site = Customer(tmp_path)
    os.remove(site.path)
    site.written = lambda: None
    assert_refused(site)
    site.path.mkdir()
    assert_refused(site)


VALUES = st.sampled_from([None, True, False, 0, 1, -1, 2, 0.5, 1e-9, 1e-300, 1e17, 1 << 53, 1 << 70, 1e300, "", "5", "x",
                          "x" * 300, "ü", "\0", [], [0], [[]], {}, {"a": 1}, [{}], [None], [True] * 40])  # fmt: skip


def paths(part, path=()):
    """Yield the paths of all values in a configuration."""
    for key, value in part.items() if isinstance(part, dict) else enumerate(part):
        yield (*path, key)
        if isinstance(value, dict | list):
            yield from paths(value, (*path, key))


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(data=st.data())
def test_any_mutation_is_refused_in_one_line_or_starts_and_answers(tmp_path, data):
    site = Customer(tmp_path)
    known = [path for path in paths(site.given) if path != ("listen",)]
    mutated = data.draw(st.lists(st.sampled_from(known), min_size=1, max_size=3))
    for *outer, key in mutated:
        part = site.given
        try:
            for step in outer:
                part = part[step]
            if data.draw(st.booleans()):
                part[key] = copy.deepcopy(data.draw(VALUES))
            else:
                del part[key]
        except (KeyError, IndexError, TypeError):
            pass  # an earlier mutation removed it
    try:
        configuration = site.configuration()
    except ConfigurationError as error:
        named = {name for path in mutated for name in path if isinstance(name, str)}
        assert "config.json" in str(error) and "\n" not in str(error)
        assert any(name in str(error) for name in named)
        return
    site.start_head(configuration)

    def act(site):
        assert site.ask(READY)[0] == 200
        for writes in (False, True, False):
            reply = site.ask(site.request(writes, **{"X-Qos-Policy": plan_of(site)}))
            assert reply is not None and reply[0] in (200, 400, 404, 405, 500, 503)
        site.discovery.set_server("s0", site.shelfs[0].address, 0, "terminating")
        site.hub.sleep(7_000 * MS)
        assert site.ask(READY)[0] == 200
        site.head.stop()
        while site.head.shutdown.phase is not Phase.ENDED:
            site.hub.sleep(10 * MS)

    site.run(act)
    assert not [note for note in site.notes if "error" in note[0]]
