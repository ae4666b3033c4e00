"""Requests that wait in front of the layer of two regions: one life, one answer, each asking anew."""

from types import SimpleNamespace

from harriertrack.decisions.retry_queue import RetryRules
from harriertrack.decisions.requests import ClientRequest
from harriertrack.decisions.splitting import Kind, Outcome
from harriertrack.gateway.regional import NOT_HOLDER
from harriertrack.gateway.regional_retries import RegionalRetries
from harriertrack.runtime.hub import Hub

MS = 1000


class Layer:
    """Refuses or serves what it is asked, a little later; or keeps it."""

    def __init__(self, hub):
        self.hub, self.verdict, self.asked, self.gone = hub, Outcome.REFUSED, [], []

    def submit(self, request):
        self.asked.append((self.hub.now(), request))
        if self.verdict is not None:
            request.outcome = self.verdict
            request.reason = NOT_HOLDER if self.verdict is Outcome.REFUSED else ""
            self.hub.at(self.hub.now() + 10, lambda: request.requester.answer(request))

    def client_left(self, request):
        self.gone.append(request)


def play(test):
    hub = Hub.virtual(1)
    layer, answers, ended = Layer(hub), [], []
    visits = RegionalRetries(hub, layer, RetryRules(1000, 2 * MS, 500 * MS), MS, ended.append)
    volume = SimpleNamespace(settings=SimpleNamespace(name="v"))

    def ask(patience=10_000 * MS, data=b"x"):
        token = SimpleNamespace(answer=answers.append)
        request = ClientRequest(volume, Kind.WRITE, 0, len(data), data, 0, token, patience_us=patience)
        visits.submit(request)
        return request

    hub.run(lambda: test(hub, layer, visits, ask, answers))
    assert ended == answers or layer.gone


def test_what_is_refused_is_asked_anew_and_answered_once():
    def test(hub, layer, visits, ask, answers):
        request = ask()
        hub.sleep(3_000 * MS)
        assert not answers and 8 < len(layer.asked) < 20  # the lane's rests grow up to half a second
        assert len({id(inner) for _, inner in layer.asked}) == len(layer.asked)
        assert all(inner.data == b"x" and inner.deadline == request.deadline for _, inner in layer.asked)
        layer.verdict = Outcome.SERVED
        hub.sleep(600 * MS)
        assert answers == [request] and request.outcome is Outcome.SERVED and not len(visits)

    play(test)


def test_only_the_oldest_is_asked_and_the_others_follow_it():
    def test(hub, layer, visits, ask, answers):
        requests = [ask(data=bytes([number])) for number in range(50)]
        hub.sleep(3_000 * MS)
        # All came before the first refusal; from then on the first alone is asked for.
        assert {inner.data for _, inner in layer.asked[50:]} == {b"\0"} and len(layer.asked) < 70
        layer.verdict = Outcome.SERVED
        hub.sleep(1_000 * MS)
        assert answers == requests

    play(test)


def test_a_failure_is_final_and_the_last_moment_is_a_refusal():
    def test(hub, layer, visits, ask, answers):
        late = ask(patience=1_000 * MS)
        hub.sleep(999 * MS)
        assert answers == [late] and late.outcome is Outcome.REFUSED
        layer.verdict = Outcome.FAILED
        failed = ask()
        hub.sleep(20 * MS)
        assert answers[1:] == [failed] and failed.outcome is Outcome.FAILED
        asked = len(layer.asked)
        hub.sleep(2_000 * MS)
        assert len(layer.asked) == asked

    play(test)


def test_a_client_that_leaves_is_not_asked_for_again():
    def test(hub, layer, visits, ask, answers):
        layer.verdict = None
        out = ask()
        visits.client_left(out)
        assert layer.gone == [layer.asked[0][1]] and not len(visits)
        layer.verdict = Outcome.REFUSED
        waits = ask()
        hub.sleep(50 * MS)
        visits.client_left(waits)
        asked = len(layer.asked)
        hub.sleep(2_000 * MS)
        assert len(layer.asked) == asked and not answers

    play(test)


def test_a_head_that_stops_refuses_what_waits():
    def test(hub, layer, visits, ask, answers):
        request = ask()
        hub.sleep(50 * MS)
        visits.close("shutting down")
        hub.sleep(600 * MS)
        assert (
            answers == [request] and request.outcome is Outcome.REFUSED and request.reason == "shutting down"
        )

    play(test)
