"""A head as a process with the least memory, beside clients that are slow, unfinished, unsound or too many."""

import subprocess
import sys
from itertools import count

import pytest

from harriertrack.lab.soak.plan import HostileKind as Kind
from tests.endings.process_site import DEADLINE_US, ProcessSite
from tests.test_platform import MS

MEMORY_MB, SOCKETS = 32, 1024  # the least memory that a head is run with, and the descriptors of a scored day
CROWD = 600  # connections: fewer than a head accepts
SECONDS = 6
USUAL_CLIENTS, GAP_US = 8, 60 * MS  # usual clients, and the mean time between two requests of one
LATE_US = 500 * MS  # beyond its time, up to which an answer earns nothing, but is no breach
TRIES = 5  # connections that a usual client opens for a request, where the head shuts them unread


class HostileSite(ProcessSite):
    """Usual clients beside a process of hostile ones; `statuses` and `late` are of the usual ones."""

    def __init__(self, tmp_path):
        super().__init__(tmp_path, MEMORY_MB, SOCKETS)
        self.statuses, self.late, self.numbers, self.streams = {}, 0, count(1), []

    def _ask(self, stream):
        """Send a request, over a new connection where the head has ended the last; return the connection."""
        message, began_at, status = self.request(next(self.numbers)), self.hub.now(), 0
        for _ in range(TRIES):
            if stream is None or not stream.silent():
                if stream is not None:
                    stream.close()
                stream = self.connect()
            status = 0 if stream is None else self.exchange(stream, message)
            if status or self.hub.now() > began_at + DEADLINE_US:
                break
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.late += self.hub.now() - began_at > DEADLINE_US + LATE_US
        return stream

    def _usual_client(self, hostile):
        stream = None
        while hostile.poll() is None:
            self.hub.sleep(int(self.random.expovariate(1 / GAP_US)))
            stream = self._ask(stream)
        if stream is not None:
            stream.close()

    def play(self, kind, connections):
        """Let usual clients ask for as long as the hostile ones are there."""
        command = [sys.executable, "-m", "harriertrack.lab.soak.hostile_clients", kind, *map(str, self.place)]
        hostile = subprocess.Popen([*command, str(SECONDS), str(connections)])
        try:
            with self.hub.scope("usual") as usual:
                for _ in range(USUAL_CLIENTS):
                    usual.spawn("client", self._usual_client, hostile)
        finally:
            hostile.kill()
            hostile.wait()


@pytest.mark.real_time
@pytest.mark.parametrize(
    ("kind", "connections"),
    [(Kind.SILENT, CROWD), (Kind.SHORT_FIELDS, CROWD), (Kind.SMALL_PIECES, CROWD), (Kind.HALF_BODIES, CROWD),
     (Kind.UNSOUND, 1), (Kind.PIPELINED, 1), (Kind.NEW_NAMES, 1), (Kind.NEW_NAMES, 8)],
)  # fmt: skip
def test_hostile_clients_neither_end_a_small_head_nor_delay_the_answers_of_others(
    tmp_path, kind, connections
):
    """Guards against heads that count payload alone, while fields, pieces, names and connections fill memory."""
    site = HostileSite(tmp_path)
    site.run(lambda: site.play(kind, connections))
    highest_mb, asked = site.highest / (1 << 20), sum(site.statuses.values())
    assert highest_mb < MEMORY_MB, f"{highest_mb:.1f} MiB of {MEMORY_MB}, {site.statuses}"
    assert not site.late and not site.statuses.get(0), f"{site.late} late, {site.statuses}"
    assert site.statuses[200] > asked // 2, f"{site.statuses}"
