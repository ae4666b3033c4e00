"""The client's end of a connection, forced at each instant of its request's life."""

import pytest

from harriertrack.standin.platform import MUTE
from tests.endings.loopback import LoopbackSite, RawClient

ENDS = pytest.mark.parametrize("end", [RawClient.close, RawClient.reset, RawClient.half_close])


@ENDS
def test_an_attempt_that_is_out_is_given_up_when_its_client_ends_though_bytes_lie_unread(tmp_path, end):
    """Bytes behind the open request are not read; the end has to show behind them all the same."""

    def act(site):
        site.script = lambda got: MUTE
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.shelfs[1].got)
        client.send(b"x" * 4096)
        end(client)
        site.until(lambda: site.shelfs[1].ended)
        assert site.head.core.open_requests == 0 and site.head.core.counts.left == 1

    LoopbackSite(tmp_path).run(act)
