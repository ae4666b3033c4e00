"""The laboratory: arrivals, traces, stored results, statistics, verdicts, fault search, baselines, reports."""

import random
import subprocess
import sys

import msgspec
import numpy as np
import pytest
from hypothesis import given, settings, strategies as st

from harriertrack.config.sexp import SettingsError, read_text
from harriertrack.decisions import fault_search, interface as api
from harriertrack.decisions.baselines import BASELINES
from harriertrack.decisions.fault_search import (
    Candidate,
    InjectedFault,
    FaultSearch,
    Outcome,
    Phase,
    SearchSpace,
)
from harriertrack.decisions.verdicts import PairedComparison, Verdict, holm_adjust, judge, required_seeds
from harriertrack.lab import report, traces
from harriertrack.lab.arrivals import (
    PhaseKind,
    PhaseSettings,
    RateIntegral,
    Surge,
    SurgeSettings,
    Zipf,
    arrivals,
    draw_surges,
)
from harriertrack.lab.emulator import emulate
from harriertrack.lab.experiments import (
    ConstantOverrides,
    ConstantSettings,
    compare_plan,
    list_jobs,
    parse_plan,
    iter_results,
    run_all,
    play_in_process,
)
from harriertrack.lab.hunting import candidate_day, format_day
from harriertrack.lab import day as days
from harriertrack.lab.scores import Scores, histogram, encode_histogram, score_recording, decode_histogram
from harriertrack.lab.statistics import compare
from harriertrack.lab.traces import TraceRequest, TraceNotes, TraceForm
from harriertrack.rules import recording as rec
from harriertrack.storage import runlog

# -- arrivals


def phase(kind, seconds, rate, to=0.0, period=60):
    return PhaseSettings(name=kind, for_us=int(seconds * 1e6), rate=rate, to=to, period_us=int(period * 1e6))


@pytest.mark.parametrize("dispersion", [0.25, 1.0, 4.0])
def test_arrivals_have_the_stated_rate_and_dispersion(dispersion):
    """Over windows much longer than a gap, the counts' variance over mean equals the dispersion of the gaps."""
    integral = RateIntegral((phase(PhaseKind.PLATEAU, 400, 200),), 1.0, [], 0)
    counts = np.zeros(400)
    times = list(arrivals(integral, dispersion, [7]))
    assert times == sorted(times) and times[0] >= 0 and times[-1] < 400e6
    for t in times:
        counts[t // 1_000_000] += 1
    assert counts.mean() == pytest.approx(200, rel=0.03)
    assert counts.var() / counts.mean() == pytest.approx(dispersion, rel=0.3)


@given(
    st.lists(
        st.tuples(st.sampled_from(PhaseKind), st.integers(2, 20), st.integers(0, 50), st.integers(1, 50)),
        min_size=1,
        max_size=4,
    ),
    st.integers(0, 2**32),
)
@settings(max_examples=40, deadline=None)
def test_the_number_of_arrivals_of_each_phase_is_the_integral_of_its_rate(shapes, seed):
    phases = tuple(phase(kind, seconds, rate, to, period=5) for kind, seconds, rate, to in shapes)
    integral = RateIntegral(phases, 1.0, [], 0)
    times = list(arrivals(integral, 0.05, [seed]))
    assert times == sorted(times)
    # Gaps are nearly even: the count equals the integral up to a few standard deviations.
    assert len(times) == pytest.approx(integral.total, abs=6 + 6 * (0.05 * integral.total) ** 0.5)
    begin_us = 0
    for each in phases:
        inside = [t for t in times if begin_us <= t < begin_us + each.for_us]
        expected = integral.expected(begin_us, begin_us + each.for_us)
        assert len(inside) == pytest.approx(expected, abs=8 + 6 * (0.05 * expected) ** 0.5)
        begin_us += each.for_us


def test_a_ramp_from_200_to_2000_per_second():
    integral = RateIntegral((phase(PhaseKind.RAMP, 20, 200, 2000),), 1.0, [], 0)
    times = np.array(list(arrivals(integral, 1.0, [1])))
    assert len(times) == pytest.approx(22_000, rel=0.03)
    assert (times < 1e6).sum() == pytest.approx(245, abs=70)
    assert (times >= 19e6).sum() == pytest.approx(1955, abs=200)


def test_a_surge_multiplies_the_rate_of_its_volumes_only():
    surge = Surge(2_000_000, 4_000_000, 5.0, (1,))
    surging = RateIntegral((phase(PhaseKind.PLATEAU, 10, 100),), 0.5, [surge], 1)
    steady = RateIntegral((phase(PhaseKind.PLATEAU, 10, 100),), 0.5, [surge], 0)
    assert surging.expected(2e6, 4e6) == pytest.approx(5 * steady.expected(2e6, 4e6))
    assert surging.expected(4e6, 1e7) == pytest.approx(steady.expected(4e6, 1e7))
    drawn = draw_surges(SurgeSettings(every_us=5_000_000, for_us=1_000_000, part=0.5), 600_000_000, 8, 3)
    assert drawn == draw_surges(
        SurgeSettings(every_us=5_000_000, for_us=1_000_000, part=0.5), 600_000_000, 8, 3
    )
    assert len(drawn) == pytest.approx(120, abs=40) and all(
        len(drawn_surge.volumes) == 4 for drawn_surge in drawn
    )


def test_popularity_follows_zipf():
    zipf = Zipf(100, 1.0, [5])
    counts = np.zeros(100)
    for _ in range(50_000):
        counts[zipf.next()] += 1
    assert np.sort(counts)[::-1][:5] / 50_000 == pytest.approx(zipf.shares[:5], rel=0.1)
    with pytest.raises(ValueError):
        Zipf(0, 1.0, [1])


# -- histograms


@given(st.lists(st.integers(1, 10_000_000), max_size=60), st.lists(st.integers(1, 10_000_000), max_size=60))
@settings(max_examples=40, deadline=None)
def test_histograms_merge_and_round_trip(first, second):
    complete, first_half, second_half = histogram(), histogram(), histogram()
    for value in first:
        first_half.record_value(value)
        complete.record_value(value)
    for value in second:
        second_half.record_value(value)
        complete.record_value(value)
    merged = decode_histogram(encode_histogram(first_half))
    merged.add(decode_histogram(encode_histogram(second_half)))
    assert merged.total_count == complete.total_count == len(first) + len(second)
    for percent in (10, 50, 90, 99, 100):
        assert merged.get_value_at_percentile(percent) == complete.get_value_at_percentile(percent)


def test_a_text_that_is_no_histogram_is_rejected():
    with pytest.raises(ValueError, match="not a histogram"):
        decode_histogram("nonsense")


# -- traces

TRACE_STEPS = st.builds(
    lambda gap, kind, sector, count: (gap, kind, sector * 512, count * 512),
    st.integers(0, 5_000),
    st.sampled_from(["read", "write"]),
    st.integers(0, 10_000),
    st.integers(1, 64),
)


@pytest.mark.parametrize("form", TraceForm)
@given(steps=st.lists(TRACE_STEPS, min_size=1, max_size=30))
@settings(max_examples=25, deadline=None)
def test_each_trace_format_round_trips(form, steps, tmp_path_factory):
    t_us, written = 0, []
    resolution_us = {TraceForm.FIO2: 100, TraceForm.FIO3: 1000}.get(form, 1)
    for number, (gap, kind, offset, length) in enumerate(steps):
        # fio iologs have a resolution of a millisecond, or waits of at least 100 us.
        t_us += 0 if number == 0 else gap * resolution_us
        written.append(TraceRequest(t_us, kind, offset, length))
    path = str(tmp_path_factory.mktemp("trace") / "one")
    assert traces.write(path, written, form) == len(written)
    assert traces.detect_form(path) is form
    notes = TraceNotes()
    assert list(traces.read(path, notes)) == written


def test_published_examples_of_each_trace_format(tmp_path):
    texts = {
        "fio3": "fio version 3 iolog\n5 /dev/sda add\n5 /dev/sda open\n12 /dev/sda read 4096 8192\n"
                "15 /dev/sda sync 0 0\n17 /dev/sda close\n",
        "blk": "  8,0    3        1     0.000000000   697  G   W 223490 + 8 [kjournald]\n"
               "  8,0    3        2     0.000001829   697  Q   W 223490 + 8 [kjournald]\n"
               "  8,0    3        3     0.000100000   697  Q   R 8 + 16 [dd]\nCPU3 (8,0):\n",
        "msr": "128166372003061629,hm,1,Read,383496192,32768,113736\n"
               "128166372003061729,hm,1,Write,383528960,4096,100\n",
    }  # fmt: skip
    found = {}
    for name, text in texts.items():
        (tmp_path / name).write_text(text)
        found[name] = list(traces.read(str(tmp_path / name), TraceNotes()))
    assert found["fio3"] == [TraceRequest(7_000, "read", 4096, 8192), TraceRequest(10_000, "flush", 0, 0)]
    # 98.171 us.
    assert found["blk"] == [
        TraceRequest(0, "write", 223490 * 512, 4096),
        TraceRequest(99, "read", 4096, 8192),
    ]
    assert found["msr"] == [
        TraceRequest(0, "read", 383496192, 32768),
        TraceRequest(10, "write", 383528960, 4096),
    ]


def test_errors_in_traces_name_the_line(tmp_path):
    bad = {
        "empty": ("", "empty"),
        "prose": ("once upon a time\n", "neither"),
        "fio4": ("fio version 4 iolog\n", "version 4"),
        "fio2": ("fio version 2 iolog\nd add\nd open\nd read 0\n", ":4: read needs"),
        "msr": ("128166372003061629,hm,1,Read,0,512,1\n1,2\n", ":2: expected 7"),
    }
    for name, (text, reason) in bad.items():
        (tmp_path / name).write_text(text)
        with pytest.raises(traces.TraceError, match=reason):
            list(traces.read(str(tmp_path / name), TraceNotes()))


def test_invalid_requests_of_a_trace_are_fitted_to_the_volume_and_counted():
    anomalies = [
        TraceRequest(100, "read", 0, 512),
        TraceRequest(50, "write", 511, 2),  # earlier than the one before; covers parts of two sectors
        TraceRequest(200, "read", 1 << 40, 512),  # beyond the end
        TraceRequest(300, "read", 0, 0),  # no length
        TraceRequest(400, "write", 0, 5000),  # longer than allowed
        TraceRequest(400, "write", 1024, 1024),  # overlaps the one before
    ]
    notes = TraceNotes()
    fitted = list(traces.fit_to_volume(anomalies, size=1 << 20, max_bytes=2048, speed=2.0, notes=notes))
    assert [one.t_us for one in fitted] == sorted(one.t_us for one in fitted)
    assert all(one.offset >= 0 and one.offset + one.length <= 1 << 20 for one in fitted)
    assert all(0 < one.length <= 2048 and one.length % 512 == 0 for one in fitted)
    assert fitted[1] == TraceRequest(50, "write", 0, 1024)
    assert sum(one.length for one in fitted if one.t_us == 200) == 5120 + 1024
    assert sum(notes.counts.values()) == 4


def test_a_long_trace_is_streamed_in_constant_memory(tmp_path):
    """The reader holds one line at a time, so its memory must not grow with the number of lines read."""
    import tracemalloc

    path = tmp_path / "long"
    line = "128166372003061629,hm,1,Read,383496192,32768,113736\n"
    path.write_text(line * 60_000)
    tracemalloc.start()
    used_bytes = []
    stream = traces.fit_to_volume(traces.read(str(path), TraceNotes()), 1 << 30, 1 << 20, 1.0, TraceNotes())
    for number, _ in enumerate(stream):
        if number in (5_000, 55_000):
            used_bytes.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    assert used_bytes[1] - used_bytes[0] < 20_000


# -- stored results


def test_results_survive_truncation_at_any_byte(tmp_path):
    path = str(tmp_path / "runs")
    log = runlog.RunLog(path)
    for number in range(3):
        log.add(f"key{number}", b'{"n": %d}' % number)
    log.close()
    complete = (tmp_path / "runs").read_bytes()
    line_ends = [index + 1 for index, byte in enumerate(complete) if byte == 10]
    for cut in range(len(complete) + 1):
        (tmp_path / "runs").write_bytes(complete[:cut])
        log = runlog.RunLog(path)
        stored = max(0, sum(end <= cut for end in line_ends) - 1)
        assert list(log.done) == [f"key{number}" for number in range(stored)]
        log.add("later", b"{}")
        log.close()
        assert [key for key, _ in runlog.read(path)] == [
            *(f"key{number}" for number in range(stored)),
            "later",
        ]


def test_damage_in_the_middle_is_an_error_unlike_a_torn_end(tmp_path):
    path = tmp_path / "runs"
    log = runlog.RunLog(str(path))
    log.add("a", b"1")
    log.add("b", b"2")
    with pytest.raises(runlog.RunLogError, match="another process"):
        runlog.RunLog(str(path))
    log.close()
    data = bytearray(path.read_bytes())
    data[data.index(b"a\t1")] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(runlog.RunLogError, match=":2: damaged"):
        runlog.RunLog(str(path))
    (tmp_path / "other").write_text("hello\nworld\n")
    with pytest.raises(runlog.RunLogError, match=":1: not a results file"):
        runlog.RunLog(str(tmp_path / "other"))
    with pytest.raises(ValueError):
        log.add("a\tb", b"")


# -- statistics and verdicts


def test_holm_adjustment_matches_its_definition():
    assert holm_adjust([0.01, 0.04, 0.03]) == pytest.approx([0.03, 0.06, 0.06])
    assert holm_adjust([]) == []
    assert holm_adjust([0.9, 0.8]) == [1.0, 1.0]


def test_verdicts():
    def pair(mean, low, high, p):
        return PairedComparison("x", mean, low, high, p, 0.05, 20)

    judged = judge([pair(0.05, 0.03, 0.07, 0.001), pair(-0.05, -0.07, -0.03, 0.001), pair(0, -0.001, 0.001, 0.9),
                    pair(0.01, -0.02, 0.04, 0.3)])  # fmt: skip
    assert [each.verdict for each in judged] == [
        Verdict.BETTER, Verdict.WORSE, Verdict.SAME, Verdict.CANT_TELL,
    ]  # fmt: skip
    assert judged[3].more_seeds > 100 and judged[0].more_seeds == 0
    # A result that would be significant alone is not significant as one of a hundred comparisons.
    many = judge([pair(0.05, 0.01, 0.09, 0.02)] + [pair(0.0, -0.1, 0.1, 0.9)] * 99)
    assert many[0].verdict is Verdict.CANT_TELL
    assert required_seeds(0.1, 0.1, 0.05) == 8 and required_seeds(0.0, 0.1, 0.05) > 10_000


def test_false_alarms_stay_at_the_stated_rate():
    """Differences are pure noise, skewed like worth: about one in twenty of 200 comparisons may raise an alarm."""
    rng = np.random.default_rng(11)
    alarms = 0
    for number in range(200):
        differences = rng.gamma(2, 0.01, 12) - rng.gamma(2, 0.01, 12)
        verdict = judge([compare("aa", differences, seed=number)])[0].verdict
        alarms += verdict in (Verdict.BETTER, Verdict.WORSE)
    assert alarms <= 18  # 10 expected; 18 is the 99 % quantile
    real = judge([compare("real", rng.normal(0.05, 0.02, 12))])[0]
    assert real.verdict is Verdict.BETTER
    assert compare("none", [0.0, 0.0]).p == 1.0
    with pytest.raises(ValueError):
        compare("few", [1.0])


# -- experiments

PLAN = """(experiment "small" (seeds 2)
  (day "calm" (load 0.3)) (variant "now") (variant "fifo" (module fifo)) (variant "salted" (salt 9)))"""


def test_an_interrupted_experiment_resumes_with_its_missing_runs(tmp_path):
    plan = parse_plan(read_text(PLAN, "p"), "p")
    jobs = list_jobs(plan)
    assert len(jobs) == 8  # the oracle is added to the three variants
    log = runlog.RunLog(str(tmp_path / "runs"))
    run_all(jobs[:2], log, 1, lambda done, total: None)
    log.close()
    log = runlog.RunLog(str(tmp_path / "runs"))
    first = dict(log.done)
    progress = []
    run_all(jobs, log, 2, lambda done, total: progress.append(done))
    log.close()
    assert progress == [2, 3, 4, 5, 6, 7, 8]
    assert all(log.done[key] == body for key, body in first.items())
    compared = compare_plan(plan, iter_results(plan, log.done))
    assert [one.comparison.name for one in compared.judged] == ["fifo", "salted"] and compared.pairs == 2
    assert report.verdict_rows(compared)[-1][0] == "oracle" and 0.5 < compared.share_of_oracle("now") < 2
    html = report.run_report([scores for _, scores in iter_results(plan, log.done)][:2], compared)
    for word in ("Latency of served", "Windows", "Backlog", "hints", "reserve", "limits", "Jain", "verdict"):
        assert word in html
    assert html.count("data:image/png;base64,") == 2 * len(report.PLOTS) + 1 and "http" not in html


def test_a_revision_runs_in_a_process_of_its_own(tmp_path):
    plan = parse_plan(read_text('(experiment "r" (seeds 1) (day "calm") (variant "x" (revision "nowhere")))',
                                "p"), "p")  # fmt: skip
    log = runlog.RunLog(str(tmp_path / "runs"))
    from harriertrack.lab.experiments import RevisionError

    with pytest.raises(RevisionError, match="nowhere"):
        run_all(list_jobs(plan), log, 1, lambda done, total: None)
    log.close()
    # The child process that plays a revision returns the same scores as this process.
    job = list_jobs(parse_plan(read_text(PLAN, "p"), "p"))[0]
    request = msgspec.json.encode((job.variant, job.day, job.seed))
    process = subprocess.run([sys.executable, "-m", "harriertrack.lab.job"], input=request,
                             capture_output=True, check=True)  # fmt: skip
    assert msgspec.json.decode(process.stdout, type=Scores) == play_in_process(job)


def test_invalid_plans_are_rejected():
    for text, reason in [
        ('(experiment "x" (variant "a"))', "day"),
        ('(experiment "x" (day "calm"))', "variant: at least one"),
        ('(experiment "x" (day "calm") (variant "a") (variant "a"))', "twice"),
        ('(experiment "x" (day "calm") (variant "a" (constant "NOT" (value 1))))', "no such figure"),
        ('(experiment "x" (day "calm") (variant "a" (module best)))', "module"),
        ('(experiment "x" (day "nosuch") (variant "a"))', "no such day"),
    ]:
        with pytest.raises(SettingsError, match=reason):
            parse_plan(read_text(text, "p"), "p")


def test_overridden_constants_are_restored_after_an_error():
    from harriertrack.decisions import scheduler

    before = scheduler.WIDEN
    with pytest.raises(RuntimeError), ConstantOverrides([ConstantSettings(name="WIDEN", value=9)]):
        assert scheduler.WIDEN == 9
        raise RuntimeError
    assert before == scheduler.WIDEN


# -- fault search

SPACE = SearchSpace(("slow", "hang", "drain"), 12_000_000, 3, 4, 8, {"slow": (2.0, 8.0)})


def run_search(search, outcome_of):
    """Run a search to its end, recording the outcomes of each batch in a random order."""
    while batch := search.next_batch():
        for number, candidate in random.Random(len(batch)).sample(batch, len(batch)):
            search.record_outcome(number, outcome_of(candidate))


def test_a_search_finds_the_harmful_fault_and_minimizes_the_day():
    """A rule breaks whenever a hang covers more than 35 % of the nodes."""

    def outcome_of(candidate):
        hangs = [fault for fault in candidate.faults if fault.kind == "hang" and fault.part > 0.35]
        return Outcome(0.1 * len(candidate.faults), (3,) if hangs else ())

    search = FaultSearch(SPACE, 1, 48)
    run_search(search, outcome_of)
    assert search.phase is Phase.DONE
    candidate, outcome = search.smallest
    assert outcome.broken == (3,)
    assert [fault.kind for fault in candidate.faults] == ["hang"]
    assert (
        candidate.heads == 1
        and candidate.nodes == 2
        and candidate.faults[0].duration_us < 2 * fault_search.MIN_FAULT_US
    )


@given(st.integers(0, 10_000))
@settings(max_examples=20, deadline=None)
def test_searches_end_and_do_not_depend_on_the_order_of_results(seed):
    def outcome_of(candidate):
        return Outcome(min(1.0, sum(fault.part * fault.duration_us for fault in candidate.faults) / 12e6))

    first, second = FaultSearch(SPACE, seed, 20, 4), FaultSearch(SPACE, seed, 20, 4)
    run_search(first, outcome_of)
    while batch := second.next_batch():
        for number, candidate in batch:
            second.record_outcome(number, outcome_of(candidate))
    assert first.smallest == second.smallest and first.played == second.played
    assert first.smallest[1].loss >= fault_search.MIN_LOSS_SHARE * first.ranked[0][1].loss
    with pytest.raises(KeyError):
        second.record_outcome(1, Outcome(0.0))


def test_a_found_day_round_trips_through_its_file_form():
    found = Candidate((InjectedFault("slow", 1_000_000, 2_000_000, 0.5, 3.0),), 1.1, 2, 4)
    base = days.load("calm")
    text = format_day(base, found)
    parsed = days.parse(read_text(text, "hunted"), "hunted")
    expected = candidate_day(base, found)
    assert parsed.troubles == expected.troubles and parsed.nodes == expected.nodes
    assert parsed.rate == pytest.approx(expected.rate, abs=0.001)


# -- baselines


def scheduler_settings(**options):
    classes = (
        api.RequestClass("read", 100_000, 500_000, effect=api.Effect.SAFE),
        api.RequestClass("write", 100_000, 500_000),
    )
    plans = (api.Plan("p", reserve=100.0), api.Plan("l", limit=10.0))
    return api.Settings(1, classes, plans, tick_us=1000, may_hint=True, max_hint_us=400_000, **options)


def node_list(*names):
    entries = [api.NodeEntry(name, shard) for shard, name in enumerate(names)]
    return api.NodesChanged(api.ListKind.FULL, entries)


def request_arrived(number, shard=0, kind="read", plan="p", volume="v"):
    return api.RequestArrived(number, kind, plan, volume, "", shard, 1.0, 500_000)


@pytest.mark.parametrize("name", BASELINES)
def test_every_baseline_answers_each_request_once(name):
    """After random events and then only timers, each request has one answer, and no send after it."""
    rng = random.Random(5)
    module = BASELINES[name](scheduler_settings(), 1, lambda node: 20_000.0)
    timers, sent_to, answers, now, served = [], {}, {}, 0, set()

    def execute(actions):
        for action in actions:
            match action:
                case api.Send():
                    assert action.request not in answers
                    sent_to.setdefault(action.request, []).append(action.node)
                case api.Refuse() | api.Fail():
                    assert action.request not in answers
                    answers[action.request] = action
                case api.SetTimer():
                    timers.append((action.at_us, action.token))

    execute(module.handle(0, [node_list("a", "b", "c")]))
    for number in range(200):
        now += rng.randrange(1, 3000)
        execute(module.handle(now, [request_arrived(number, rng.choice([-1, 0, 1, 2]), rng.choice(["read", "write"]),
                                        rng.choice("pl"))]))  # fmt: skip
        if sent_to and rng.random() < 0.7:
            request = rng.choice(list(sent_to))
            node = sent_to.pop(request)[-1]
            is_answered = request in answers
            result = rng.choice([api.Result.OK, api.Result.OK, api.Result.FULL, api.Result.RESET])
            if result is api.Result.OK and not is_answered:
                served.add(request)
                answers[request] = result
            execute(
                module.handle(
                    now, [api.AttemptEnded(request, 0, node, result, 5000, is_answered or request in served)]
                )
            )
    for _ in range(5000):
        if not timers:
            break
        timers.sort()
        at_us, token = timers.pop(0)
        now = max(now, at_us)
        execute(module.handle(now, [api.TimerFired(token)]))
    assert set(answers) == set(range(200))


def test_the_tags_baseline_honours_reservations_and_limits():
    module = BASELINES["tags"](scheduler_settings())
    module.handle(0, [node_list("a")])
    actions = [
        one for one in module.handle(0, [request_arrived(n, plan="l", volume="slow") for n in range(5)])
    ]
    assert sum(isinstance(one, api.Send) for one in actions) == 1  # limit of ten per second: one at once
    actions = module.handle(1000, [request_arrived(10 + n, volume="fast") for n in range(3)])
    assert [one.request for one in actions if isinstance(one, api.Send)] == [10, 11, 12]


def test_the_oracle_refuses_requests_that_would_miss_their_deadline():
    waits = {"a": 5_000_000.0, "b": 10.0}
    module = BASELINES["oracle"](scheduler_settings(), 1, waits.__getitem__)
    module.handle(0, [node_list("a", "b")])
    kinds = [
        type(one)
        for one in module.handle(0, [request_arrived(1, 0), request_arrived(2, 1), request_arrived(3, -1)])
    ]
    assert [one for one in kinds if one is not api.SetTimer] == [api.Refuse, api.Send, api.Send]


def test_a_day_with_cells_is_scored_and_plotted_by_cell():
    day = msgspec.structs.replace(days.load("cell-flood"), length_us=6_000_000)
    recorder = rec.Recorder()
    emulate(day, 1, recorder)
    scores = score_recording(recorder.records, day, "", 1)
    assert set(scores.by_cell) == set(scores.cell_steps) == {"cell0", "cell1"}
    assert sum(one.asked for one in scores.by_cell.values()) == scores.asked
    flooded, other = sorted(scores.by_cell.values(), key=lambda one: one.share)
    assert flooded.share < 0.95 and other.share > 0.99
    assert min(scores.cell_steps["cell0"]) < 0.9 or min(scores.cell_steps["cell1"]) < 0.9
    page = report.run_report([scores])
    assert "By cell" in page and "What each cell" in page
