"""Requests that wait in front of the regional layer: one final answer each, and a new attempt for each retry."""

from types import SimpleNamespace

from harriertrack.decisions.retry_queue import RetryRules
from harriertrack.decisions.requests import ClientRequest
from harriertrack.decisions.splitting import Kind, Outcome
from harriertrack.gateway.regional import NOT_HOLDER
from harriertrack.gateway.regional_retries import RegionalRetries
from harriertrack.runtime.hub import Hub

MS = 1000


class Layer:
    """Refuses or serves requests after a short delay, or leaves them unanswered."""

    def __init__(self, hub):
        self.hub, self.verdict, self.attempts, self.left = hub, Outcome.REFUSED, [], []

    def submit(self, request):
        self.attempts.append((self.hub.now(), request))
        if self.verdict is not None:
            request.outcome = self.verdict
            request.reason = NOT_HOLDER if self.verdict is Outcome.REFUSED else ""
            self.hub.at(self.hub.now() + 10, lambda: request.requester.answer(request))

    def client_left(self, request):
        self.left.append(request)


def play(test):
    hub = Hub.virtual(1)
    layer, answers, ended = Layer(hub), [], []
    retries = RegionalRetries(hub, layer, RetryRules(1000, 2 * MS, 500 * MS), MS, ended.append)
    volume = SimpleNamespace(settings=SimpleNamespace(name="v"))

    def submit(patience=10_000 * MS, data=b"x"):
        token = SimpleNamespace(answer=answers.append)
        request = ClientRequest(volume, Kind.WRITE, 0, len(data), data, 0, token, patience_us=patience)
        retries.submit(request)
        return request

    hub.run(lambda: test(hub, layer, retries, submit, answers))
    assert ended == answers or layer.left


def test_refused_request_is_retried_and_answered_once():
    def test(hub, layer, retries, submit, answers):
        request = submit()
        hub.sleep(3_000 * MS)
        assert not answers and 8 < len(layer.attempts) < 20  # the queue's delays grow up to half a second
        assert len({id(inner) for _, inner in layer.attempts}) == len(layer.attempts)
        assert all(inner.data == b"x" and inner.deadline == request.deadline for _, inner in layer.attempts)
        layer.verdict = Outcome.SERVED
        hub.sleep(600 * MS)
        assert answers == [request] and request.outcome is Outcome.SERVED and not len(retries)

    play(test)


def test_only_the_oldest_is_retried_until_it_is_served():
    def test(hub, layer, retries, submit, answers):
        requests = [submit(data=bytes([number])) for number in range(50)]
        hub.sleep(3_000 * MS)
        # All were submitted before the first refusal; from then on only the first is retried.
        assert {inner.data for _, inner in layer.attempts[50:]} == {b"\0"} and len(layer.attempts) < 70
        layer.verdict = Outcome.SERVED
        hub.sleep(1_000 * MS)
        assert answers == requests

    play(test)


def test_failure_is_final_and_expiry_is_a_refusal():
    def test(hub, layer, retries, submit, answers):
        expired = submit(patience=1_000 * MS)
        hub.sleep(999 * MS)
        assert answers == [expired] and expired.outcome is Outcome.REFUSED
        layer.verdict = Outcome.FAILED
        failed = submit()
        hub.sleep(20 * MS)
        assert answers[1:] == [failed] and failed.outcome is Outcome.FAILED
        attempts = len(layer.attempts)
        hub.sleep(2_000 * MS)
        assert len(layer.attempts) == attempts

    play(test)


def test_request_of_a_client_that_left_is_not_retried():
    def test(hub, layer, retries, submit, answers):
        layer.verdict = None
        unanswered = submit()
        retries.client_left(unanswered)
        assert layer.left == [layer.attempts[0][1]] and not len(retries)
        layer.verdict = Outcome.REFUSED
        waiting = submit()
        hub.sleep(50 * MS)
        retries.client_left(waiting)
        attempts = len(layer.attempts)
        hub.sleep(2_000 * MS)
        assert len(layer.attempts) == attempts and not answers

    play(test)


def test_stopping_head_refuses_waiting_requests():
    def test(hub, layer, retries, submit, answers):
        request = submit()
        hub.sleep(50 * MS)
        retries.close("shutting down")
        hub.sleep(600 * MS)
        assert (
            answers == [request] and request.outcome is Outcome.REFUSED and request.reason == "shutting down"
        )

    play(test)
