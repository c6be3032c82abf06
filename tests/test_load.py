"""The load generator: arrivals as planned, latency from when requests were meant to be sent, and its own lag told."""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path
from typing import Any

import numpy as np
import pytest
import trio
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from tests.support import ROOT, Lines, free_port, play, steady
from thistleshore.cli import commands
from thistleshore.load.arrivals import times
from thistleshore.load.plan import PlanError, arrivals, convert
from thistleshore.load.result import Result
from thistleshore.load.run import Sender
from thistleshore.load.shapes import Constant, Ramp, Sine, Spikes, Step, factor, peak

SHAPES = st.one_of(
    st.builds(Constant, st.floats(0, 3)),
    st.builds(Ramp, st.floats(0, 3), st.floats(0, 3), st.floats(0, 9), st.floats(0.1, 9)),
    st.builds(Step, st.floats(0, 3), st.floats(0, 9), st.floats(0.1, 9)),
    st.builds(Sine, st.floats(0, 1), st.floats(0.1, 9)),
    st.builds(Spikes, st.floats(0, 3), st.floats(0.1, 9), st.floats(0.1, 9)),
)


def plan(**more: Any) -> dict[str, Any]:
    return {"target": "127.0.0.1:9", "seconds": 10.0, "source": [{"class": "seat-search", "rate": 20.0}], **more}


@steady
@given(st.lists(SHAPES, max_size=3), st.floats(0, 30))
def test_a_product_of_shapes_never_passes_its_peak(shapes: list[Any], when: float) -> None:
    assert 0.0 <= factor(shapes, when) <= peak(shapes) + 1e-9


@pytest.mark.parametrize("process", ["poisson", "paced", "on_off", "self_similar"])
def test_each_process_has_the_rate_that_is_asked_for(process: Any) -> None:
    counts = [len(list(times(process, lambda t: 50.0, 50.0, 60.0, np.random.default_rng(seed)))) for seed in range(8)]
    within = {"paced": 0.001, "poisson": 0.05, "on_off": 0.3, "self_similar": 0.3}[process]
    assert np.mean(counts) == pytest.approx(3000, rel=within)
    found = list(times(process, lambda t: 50.0, 50.0, 60.0, np.random.default_rng(1)))
    assert found == sorted(found) and found == list(
        times(process, lambda t: 50.0, 50.0, 60.0, np.random.default_rng(1))
    )
    gaps = np.diff(found)
    spread = np.std(gaps) / np.mean(gaps)
    low, high = {"paced": (0.0, 0.05), "poisson": (0.9, 1.1), "on_off": (1.2, 9.0), "self_similar": (1.0, 9.0)}[process]
    assert low <= spread <= high


def test_a_jump_is_in_the_schedule_and_splitting_changes_nothing() -> None:
    jump = convert(
        plan(
            seconds=30.0,
            source=[
                {
                    "class": "a",
                    "rate": 50.0,
                    "fresh": 0.3,
                    "shapes": [{"kind": "step", "factor": 2.4, "begin": 10.0, "length": 8.0}],
                },
                {"class": "b", "rate": 9.0, "process": "paced"},
            ],
        )
    )
    whole = list(arrivals(jump))
    first = [a.when for a in whole if a.source == 0]
    inside, before = sum(10 <= t < 18 for t in first) / 8, sum(t < 10 for t in first) / 10
    assert inside / before == pytest.approx(2.4, rel=0.15)
    dealt = [arrival for part in range(3) for arrival in arrivals(jump, part, 3)]
    assert sorted(dealt) == whole and len(set(dealt)) == len(whole)


@pytest.mark.parametrize(
    ("more", "key"),
    [
        ({"target": "nowhere"}, "target"),
        ({"source": []}, "source"),
        ({"secnds": 1}, "secnds"),
        ({"seconds": 0}, "seconds"),
        ({"source": [{"class": "a", "rate": -1}]}, "source[0].rate"),
        ({"source": [{"rate": 1}]}, "class"),
        ({"source": [{"class": "a", "rate": 1, "process": "odd"}]}, "source[0].process"),
        (
            {"source": [{"class": "a", "rate": 1, "shapes": [{"kind": "sine", "swing": 2, "period": 1}]}]},
            "source[0].shapes[0].swing",
        ),
        ({"source": [{"class": "a", "rate": 1, "again": {"most": 4}}]}, "source[0].again.most"),
    ],
)
def test_a_faulty_plan_names_its_key(more: dict[str, Any], key: str) -> None:
    with pytest.raises(PlanError) as caught:
        convert(plan(**more))
    assert key in str(caught.value)


class StandIn:
    """A target that answers as it is told, and may stall: what comes in a stall is answered at its end."""

    def __init__(self, port: int, statuses: tuple[bytes, ...] = (b"200 OK",), latency: float = 0.05) -> None:
        self.port, self.statuses, self.latency = port, statuses, latency
        self.stall = (0.0, 0.0)
        self.heads: list[dict[bytes, bytes]] = []
        self.connections = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        lines = Lines(stream)
        try:
            while True:
                _, headers = await lines.head()
                await lines.exactly(int(headers[b"content-length"]))
                self.heads.append(headers)
                status = self.statuses[(len(self.heads) - 1) % len(self.statuses)]
                if status == b"drop":
                    return
                await trio.sleep(self.latency)
                if self.stall[0] <= trio.current_time() < self.stall[1]:
                    await trio.sleep_until(self.stall[1])
                await stream.send_all(b"HTTP/1.1 " + status + b"\r\nRetry-After: 0.500\r\nContent-Length: 2\r\n\r\nok")
        except (EOFError, trio.BrokenResourceError):
            pass


def measured(target: StandIn, stall: tuple[float, float] = (0.0, 0.0), **more: Any) -> Result:
    sender = Sender(convert(plan(target=f"127.0.0.1:{target.port}", **more)), spin=0.0)

    async def scenario() -> Result:
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_tcp, target.serve, target.port)
            now = trio.current_time()
            target.stall = (now + stall[0], now + stall[1])
            result = await sender.run()
            nursery.cancel_scope.cancel()
        return result

    found: Result = play(scenario)
    return found


def test_a_stall_is_seen_by_every_request_that_was_meant_to_be_sent_in_it() -> None:
    """A closed loop would have sent one request in the stall, and hidden the others' wait."""
    result = measured(
        StandIn(free_port()), (3.0, 5.0), source=[{"class": "x", "rate": 20.0, "process": "paced", "wanted": 0.2}]
    )
    told = result.told()
    assert told["requests"] == 199 and not told["late"] and not told["partial"]
    ((key, found),) = result.latency.items()
    assert key == ("", "x", "served")
    over = (
        found.get_total_count()
        - found.get_count_at_value(0)
        - sum(
            item.count_added_in_this_iter_step
            for item in found.get_recorded_iterator()
            if item.value_iterated_to < 200_000
        )
    )
    assert 36 <= over <= 41 and told["served_ms"]["max"] == pytest.approx(2000, rel=0.02)
    assert told["served_ms"]["p50"] == pytest.approx(50, rel=0.03)
    assert told["service"][""] == pytest.approx(1 - 0.8 * over / 199, abs=0.01)
    rows = result.table().strip().split("\n")
    assert (
        rows[0].startswith("from,asked,in_time,served")
        and len(rows) == 11
        and rows[4].split(",")[2] < rows[4].split(",")[1]
    )


def test_clients_ask_again_by_advice_and_are_counted_once() -> None:
    target = StandIn(free_port(), (b"503 x", b"503 x", b"200 OK"))
    source = {
        "class": "x",
        "member": "m",
        "rate": 0.5,
        "process": "paced",
        "wanted": 9.0,
        "again": {"most": 2, "wait": 9.0},
    }
    result = measured(target, seconds=7.0, source=[source])
    told = result.told()
    assert (told["requests"], told["tries"], told["service"]) == (3, 9, {"m": 1.0})
    assert told["served_ms"]["p50"] == pytest.approx(1150, rel=0.05)  # three tries and twice the advice
    assert [head.get(b"x-resent") for head in target.heads[:3]] == [None, b"1", b"1"] and target.heads[0][
        b"x-org"
    ] == b"m"
    once = measured(StandIn(free_port(), (b"503 x",)), seconds=7.0, source=[{**source, "again": {}}]).told()
    assert [row["outcome"] for row in once["outcomes"]] == ["refused"] and once["service"] == {"m": 0.0}


def test_connections_are_kept_or_fresh_and_what_breaks_is_named() -> None:
    kept, fresh = StandIn(free_port()), StandIn(free_port())
    measured(kept, seconds=2.0, source=[{"class": "x", "rate": 10.0, "process": "paced"}])
    measured(fresh, seconds=2.0, source=[{"class": "x", "rate": 10.0, "process": "paced", "fresh": 1.0}])
    assert kept.connections == 1 and fresh.connections == 19
    broken = measured(
        StandIn(free_port(), (b"drop",)), seconds=1.0, source=[{"class": "x", "rate": 5.0, "process": "paced"}]
    )
    assert broken.told()["outcomes"][0]["outcome"] == "lost" and broken.troubles == {"closed by the target": 4}
    slow = measured(
        StandIn(free_port(), latency=5.0), seconds=1.0, source=[{"class": "x", "rate": 5.0, "deadline": 0.5}]
    ).told()
    assert {row["outcome"] for row in slow["outcomes"]} == {"timeout"} and slow["service"] == {"": 0.0}


def test_nobody_there_is_a_trouble_with_a_name() -> None:
    sender = Sender(convert(plan(target=f"127.0.0.1:{free_port()}", seconds=0.5)), spin=0.0)
    told = play(sender.run).told()
    assert told["troubles"] == {"refused by the target": told["requests"]}


def test_a_generator_that_falls_behind_says_so() -> None:
    result = Result(convert(plan(lag_bound=0.01)))
    for n in range(100):
        result.on_meant(0, n / 10)
        result.on_written(0.001 if n < 98 else 0.5, 0.0)
        result.on_end(0, n / 10, "served", 0.1)
    assert (
        result.late
        and result.told()["late"]
        and "**Late:" in result.summary()
        and result.table().split("\n")[1].endswith(",1")
    )


def test_results_of_several_senders_merge() -> None:
    terms = convert(plan())
    one, two = Result(terms), Result(terms)
    for number, result in enumerate((one, two)):
        for n in range(10):
            result.on_meant(0, n)
            result.on_written(0.0, 0.0)
            result.on_end(0, n, "served", 0.1 + number)
    one.merge([two])
    told = one.told()
    assert (told["requests"], told["outcomes"][0]["count"], told["service"]) == (20, 20, {"": pytest.approx(0.6)})
    assert told["served_ms"]["max"] == pytest.approx(1100, rel=0.01) and one.rows[3]["asked"] == 2


def test_a_cancelled_run_tells_what_it_knows() -> None:
    target = StandIn(free_port())
    sender = Sender(convert(plan(target=f"127.0.0.1:{target.port}")), spin=0.0)

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_tcp, target.serve, target.port)
            with trio.move_on_after(2.0):
                await sender.run()
            nursery.cancel_scope.cancel()

    play(scenario)
    told = sender.result.told()
    assert told["partial"] and 20 < told["requests"] < 60 and "Partial" in sender.result.summary()


def test_the_command_writes_a_folder_and_ends_with_2_on_a_faulty_plan(tmp_path: Path) -> None:
    path, out = tmp_path / "plan.toml", tmp_path / "out"
    path.write_text(
        f'target = "127.0.0.1:{free_port()}"\nseconds = 0.3\nlag_bound = 5.0\n[[source]]\nclass = "x"\nrate = 20.0\n'
    )
    found = CliRunner().invoke(commands, ["load", "run", str(path), "--out", str(out), "--json"])
    assert found.exit_code == 0 and json.loads(found.output)["troubles"]
    names = {"plan.json", "result.json", "intervals.csv", "summary.md", "histograms.jsonl"}
    assert {each.name for each in out.iterdir()} == names
    assert json.loads((out / "plan.json").read_text())["plan"]["source"][0]["rate"] == 20.0
    path.write_text('target = "x"\n')
    found = CliRunner().invoke(commands, ["load", "run", str(path)])
    assert found.exit_code == 2 and "source" in found.stderr


def test_the_operators_page_holds_a_sound_plan() -> None:
    page = (ROOT / "docs" / "operate" / "load.md").read_text()
    (text,) = re.findall(r"```toml\n(.*?)```", page, re.S)
    found = convert(tomllib.loads(text))
    assert found.source[0].again.most == 2 and peak(tuple(found.source[0].shapes)) == pytest.approx(2.88)
