"""The generator's percentiles against its server's own over loopback, also while that stalls for 10 s.

    python -m benchmarks.generator

A storage node stand-in in a process of its own keeps a histogram from each request's arrival to its answer;
the generator counts from each request's intended start. Prints both, and by how much they differ.
"""

from __future__ import annotations

import multiprocessing
import signal
from multiprocessing.connection import Connection
from typing import Any

from hdrh.histogram import HdrHistogram

from harriertrack.config.settings import NodeStandInSettings, VolumeSettings
from harriertrack.config.sexp import read_text
from harriertrack.lab.generator import Generator, parse_load
from harriertrack.lab.scores import decode_histogram, encode_histogram, histogram
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.node import ReceivedRequest, ShardStorage
from harriertrack.standin.node_server import NodeServer

CASES = (
    ("plateau 100", "(phase plateau (for 20s) (rate 100))", False),
    ("plateau 100", "(phase plateau (for 20s) (rate 100))", True),
    ("ramp 200 to 1000", "(phase ramp (for 20s) (rate 200) (to 1000))", False),
    ("ramp 200 to 2000", "(phase ramp (for 20s) (rate 200) (to 2000))", False),
)
MIX = "(mix (read 1) (write 0)) (popularity 0) (block 512B)"
STALL_AT_US, STALL_US = 4_000_000, 10_000_000
PERCENTS = (50.0, 90.0, 99.0, 99.9, 100.0)


class Measured(NodeServer):
    """A storage node with a histogram of its own."""

    hub: Hub
    took: HdrHistogram
    leaving: list[int]

    def record_reply(self, work: ReceivedRequest, result: str) -> Any:
        """Note an answer; it leaves with all others at the end of the loop's round."""
        if not self.leaving:
            self.hub.at_end_of_round(self.hand_over)
        self.leaving.append(work.arrived_at_us)
        return super().record_reply(work, result)

    def hand_over(self) -> None:
        """Wait until the streams of this round have handed their bytes to the sockets."""
        self.hub.at_end_of_round(self.count)

    def count(self) -> None:
        """Record how long the answers of this round took here."""
        now = self.timing.now()
        for arrived in self.leaving:
            self.took.record_value(max(1, now - arrived))
        self.leaving.clear()


def serve(pipe: Connection, stalls: bool) -> None:
    """Run the node until asked for its histogram (a process)."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    hub = Hub.exact()
    volume = VolumeSettings(name="disk", size_bytes=1 << 30, plan="p")
    settings = NodeStandInSettings(
        listen=("127.0.0.1", 0),
        volumes=(volume,),
        cores=1024,
        request_us=120_000,
        unit_us=0,
        queue=1_000_000,
        extent_bytes=64 << 10,
    )

    def main() -> None:
        with hub.scope("node") as scope:
            node = Measured(hub, SocketNetwork(hub), settings, ShardStorage(settings.extent_bytes))
            node.took, node.leaving, node.hub = histogram(), [], hub
            node.start(scope)
            pipe.send(node.address)
            if stalls:
                hub.sleep(STALL_AT_US)
                node.pause(STALL_US)
            while not pipe.poll():
                hub.sleep(50_000)
            pipe.send(encode_histogram(node.took))
            scope.cancel()

    hub.run(main)


def main() -> None:
    """Measure each load, with and without the stall."""
    print("| load | stall | requests | fit | percent | generator ms | server ms | differs |")
    print("| --- " * 8 + "|")
    for name, phase, stalls in CASES:
        pipe, theirs = multiprocessing.Pipe()
        process = multiprocessing.Process(target=serve, args=(theirs, stalls))
        process.start()
        host, port = pipe.recv()
        text = f'(load "b" (volume "disk" (address {host} {port}) (connections 4)) {phase} {MIX})'
        hub, load = Hub.exact(), parse_load(read_text(text, "load"), "load")
        result = hub.run(Generator(hub, SocketNetwork(hub), load).run)
        pipe.send("done")
        own, mine = decode_histogram(pipe.recv()), histogram()
        process.join()
        for kind in result.latency.values():
            mine.add(decode_histogram(kind))
        for percent in PERCENTS:
            here, there = (one.get_value_at_percentile(percent) / 1000 for one in (mine, own))
            stall = "10 s" if stalls else "none"
            print(
                f"| {name} | {stall} | {result.served} | {result.fit} | {percent:g} | {here:.2f} | "
                f"{there:.2f} | {here / there - 1:+.2%} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
