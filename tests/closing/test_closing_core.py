"""Effects of a close on open requests in a head's core and on its extent map, in memory and on disk."""

import importlib.util
from pathlib import Path

import pytest

from harriertrack.config.settings import Kind
from harriertrack.decisions import interface as api
from harriertrack.decisions.requests import ClientRequest
from harriertrack.decisions.splitting import Outcome
from harriertrack.storage.extents import ExtentMap

_SPEC = importlib.util.spec_from_file_location("core_rig", Path(__file__).parent.parent / "test_core.py")
_CORE = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(_CORE)
EXTENT = _CORE.EXTENT


class Closings:
    """A stub that refuses while `hint` is set."""

    def __init__(self, places):
        self.hint, self.waited, self.risky, self._places = None, [], [], places

    def refusal_hint_us(self, request):
        return self.hint if request.kind is not Kind.FLUSH and request.trim_shard < 0 else None

    def record_placement(self, volume, extent, shard):
        self._places.doubt(volume, extent, shard)

    def record_running(self, volume, extent):
        self.risky.append((volume, extent))

    def prioritize_trim(self, volume, extent):
        self.waited.append((volume, extent))


def covers_everything(_volume, _offset, _length):
    return True


@pytest.fixture
def rig():
    rig = _CORE.Rig()
    rig.core.close_guard = Closings(rig.extents)
    return rig


def close(rig, number=1):
    """Step over a close, as a head does."""
    counts = rig.core.close_off(rig.now, covers_everything)
    lefts = rig.extents.purge("c", number, 1000 * number, lambda _volume, _extent: True)
    rig.core.hold_purged({(volume, extent) for volume, extent, _ in lefts})
    rig.flush()
    return counts, lefts


def written(rig, offset=0):
    request = rig.ask(Kind.WRITE, offset=offset, data=b"a" * 512)
    rig.end(rig.port.sent[-1])
    assert request.outcome is Outcome.SERVED
    return rig.port.sent[-1].member.entry.shard


def trim(rig, extent, shard):
    request = ClientRequest(
        rig.core.volumes["v"],
        Kind.TRIM,
        extent * EXTENT,
        EXTENT,
        b"",
        0,
        None,
        background=True,
        moving=True,
        trim_shard=shard,
    )
    rig.core.accept(rig.now, request)
    rig.flush()
    rig.end(rig.port.sent[-1])
    assert request.outcome is Outcome.SERVED
    rig.extents.mark_trimmed("v", extent, shard)
    rig.core.release_trimmed("v", extent)
    rig.flush()


def test_old_bytes_are_not_read_and_a_new_write_waits_for_the_trim(rig):
    shard = written(rig)
    _, lefts = close(rig)
    assert lefts == [("v", 0, shard)]
    read = rig.ask(Kind.READ)
    assert read.outcome is Outcome.SERVED and read.bytes_read() == bytes(512)
    sent = len(rig.port.sent)
    write = rig.ask(Kind.WRITE, data=b"n" * 512)
    assert len(rig.port.sent) == sent and rig.core.close_guard.waited == [("v", 0)]
    trim(rig, 0, shard)
    assert rig.port.sent[-1].part.body() == b"n" * 512
    rig.end(rig.port.sent[-1])
    assert write.outcome is Outcome.SERVED and rig.extents.shard_of("v", 0) is not None


def test_open_reads_and_unsent_writes_are_refused_and_sent_writes_fail(rig):
    written(rig)
    read = rig.ask(Kind.READ)
    sent = rig.ask(Kind.WRITE, data=b"b" * 512)
    rig.core.attempt_sent(rig.port.sent[-1])
    unsent = rig.ask(Kind.WRITE, offset=512, data=b"c" * 512)
    assert close(rig)[0] == (2, 1)
    assert (read.outcome, sent.outcome, unsent.outcome) == (Outcome.REFUSED, Outcome.FAILED, Outcome.REFUSED)
    assert set(rig.core.close_guard.risky) == {("v", 0)}
    before = len(rig.port.answers)
    for attempt in list(rig.port.sent[1:]):
        if attempt.state.value in ("sent", "dialing"):
            rig.end(attempt, data=bytes(512), sent=attempt.state.value == "dialing")
    assert len(rig.port.answers) == before, "each request got exactly one answer"


def test_read_served_but_not_answered_at_the_close_is_refused(rig):
    written(rig)
    read = rig.ask(Kind.READ)
    rig.core.attempt_sent(rig.port.sent[-1])
    rig.core.attempt_ended(rig.now, rig.port.sent[-1], api.Result.OK, b"a" * 512)
    close(rig)
    assert read.outcome is Outcome.REFUSED and rig.port.answers.count(read) == 1


def test_nothing_is_admitted_or_answered_while_a_close_may_have_come(rig):
    written(rig)
    read = rig.ask(Kind.READ)
    rig.core.close_guard.hint = 700
    rig.end(rig.port.sent[-1], data=b"a" * 512)
    later = rig.ask(Kind.WRITE, data=b"x" * 512)
    assert (read.outcome, read.hint_us) == (Outcome.REFUSED, 700) == (later.outcome, later.hint_us)
    assert rig.ask(Kind.FLUSH, length=0).outcome is not Outcome.REFUSED


def test_first_write_in_flight_at_the_close_is_trimmed_where_it_may_be_stored(rig):
    rig.ask(Kind.WRITE, data=b"a" * 512)
    attempt = rig.port.sent[-1]
    rig.core.attempt_sent(attempt)
    _, lefts = close(rig)
    shard = attempt.member.entry.shard
    assert lefts == [("v", 0, shard)]
    rig.end(attempt, sent=False)
    assert rig.extents.shard_of("v", 0) is None, "the late completion does not place the extent"


def test_move_in_progress_ends_with_the_close(rig):
    shard = written(rig)

    class Holder:
        held_at = 0

        def held(self):
            self.held_at += 1

    holder = Holder()
    rig.core.hold_extent("v", 0, holder)
    rig.flush()
    move = ClientRequest(
        rig.core.volumes["v"], Kind.WRITE, 0, EXTENT, bytes(EXTENT), 0, None, background=True, moving=True
    )
    rig.core.accept(rig.now, move)
    rig.flush()
    target = rig.port.sent[-1].member.entry.shard
    rig.core.attempt_sent(rig.port.sent[-1])
    _, lefts = close(rig)
    assert move.outcome is Outcome.FAILED and {one[2] for one in lefts} == {shard, target}
    rig.core.release_extent("v", 0)  # as the mover does after its read was refused
    sent = len(rig.port.sent)
    rig.ask(Kind.WRITE, data=b"n" * 512)
    assert len(rig.port.sent) == sent, "held until the extent is trimmed"


# -- on disk


def test_close_is_on_disk_atomically_and_a_kill_preserves_pending_trims(tmp_path):
    path = str(tmp_path / "extents")
    one = ExtentMap(path)
    one.place([("v", 0, 1), ("v", 1, 2), ("w", 0, 1)])
    one.doubt("v", 2, 0)
    one.doubt("v", 3, 0)
    one.place([("v", 3, 0), ("v", 1, 0)])  # one is now known to be placed, one was moved
    lefts = one.purge("c", 4, 9_000_000, lambda volume, _extent: volume == "v")
    assert lefts == [("v", 0, 1), ("v", 1, 0), ("v", 1, 2), ("v", 2, 0), ("v", 3, 0)]
    one.mark_trimmed("v", 0, 1)
    one.close()
    again = ExtentMap(path)
    assert again.closing.generations == {"c": (4, 9_000_000)}
    assert again.closing.lefts == {"v": {(1, 0), (1, 2), (2, 0), (3, 0)}}
    assert (
        not any(again.closing.doubts.values())
        and again.shard_of("v", 0) is None
        and again.shard_of("w", 0) == 1
    )
    assert again.leftovers("v") == []
    again.close()


def test_failed_close_leaves_the_map_unchanged(tmp_path, monkeypatch):
    path = str(tmp_path / "extents")
    one = ExtentMap(path)
    one.place([("v", 0, 1)])

    def fails(*_args):
        raise OSError("the disk is full")

    monkeypatch.setattr(type(one.closing), "close", fails)
    with pytest.raises(OSError):
        one.purge("c", 1, 1, lambda _volume, _extent: True)
    assert one.shard_of("v", 0) == 1
    one.close()
    again = ExtentMap(path)
    assert again.shard_of("v", 0) == 1 and again.closing.generations == {}
    again.close()


# -- clients that wait


def ask_patiently(rig, kind, data=b""):
    request = ClientRequest(
        rig.core.volumes["v"], kind, 0, len(data) or 512, data, 0, None, patience_us=20_000_000
    )
    rig.core.accept(rig.now, request)
    rig.flush()
    return request


def test_patient_request_is_retried_after_the_close_instead_of_refused(rig):
    shard = written(rig)
    read, write = ask_patiently(rig, Kind.READ), ask_patiently(rig, Kind.WRITE, b"b" * 512)
    rig.core.close_guard.hint = 300_000
    rig.end(rig.port.sent[-2], data=b"a" * 512)  # the read completes while the close may have come
    close(rig)  # the write was not sent: it is dropped and retried, not refused
    later = ask_patiently(rig, Kind.READ)
    assert read.outcome is write.outcome is later.outcome is None
    assert not {read, write, later} & set(rig.port.answers)
    rig.core.close_guard.hint = None
    rig.run(400_000)
    assert (
        read.outcome is later.outcome is Outcome.SERVED
        and read.bytes_read() == later.bytes_read() == bytes(512)
    )
    trim(rig, 0, shard)
    rig.end(rig.port.sent[-1])
    assert write.outcome is Outcome.SERVED
    assert [rig.port.answers.count(one) for one in (read, write, later)] == [1, 1, 1]
    assert rig.core.counts.refused == 0 and rig.core.open_requests == 0


def test_waiting_for_a_close_ends_with_the_patience_the_client_or_the_head(rig):
    rig.core.close_guard.hint = 300_000
    departed, stopped, expired = (ask_patiently(rig, Kind.READ) for _ in range(3))
    rig.core.client_left(departed)
    rig.run(19_000_000)
    assert stopped.outcome is expired.outcome is None
    rig.run(1_100_000)
    assert expired.outcome is Outcome.REFUSED and rig.port.answers.count(expired) == 1
    late = ask_patiently(rig, Kind.READ)
    rig.core.stop_waiting("shutting down")
    rig.flush()
    assert (
        late.outcome is Outcome.REFUSED and departed not in rig.port.answers and rig.core.open_requests == 0
    )


def test_cancelled_trim_is_not_sent_under_a_later_epoch():
    """A trim still queued in the scheduler used to be sent after the volume was open again.

    Found by lab days over real processes.
    """
    from types import SimpleNamespace

    from harriertrack.decisions.fleet.closing.trims import TrimTarget, TrimQueue, TrimRules
    from harriertrack.gateway.fleet.closing.trimming import Trimming
    from harriertrack.runtime.hub import Hub

    rig, hub, left = _CORE.Rig(shards=(0, 1)), Hub.virtual(1), TrimTarget("v", 0, 0)
    trims = TrimQueue(TrimRules(spread_us=0), 0)
    trims.add(0, [left], 0.0, {})
    done = []

    def main():
        with hub.scope("head") as scope:
            parts = SimpleNamespace(hub=hub, core=rig.core, scope=scope, settings=rig.settings)
            trimming = Trimming(parts, trims, rig.extents, lambda: 1, 1000)
            trimming.on_begin = lambda _left: lambda: done.append(1)
            task = scope.spawn("trims", trimming.run)
            hub.sleep(1000)
            rig.flush()
            (attempt,) = rig.port.sent
            trims.drop([left])
            trimming.cancel([left])
            rig.flush()
            assert rig.port.called_off == [attempt]
            hub.sleep(10_000_000)
            rig.run(10_000_000)
            assert rig.port.sent == [attempt] and not done and len(trims) == 0
            task.cancel()

    hub.run(main)
