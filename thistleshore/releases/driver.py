"""Advances a release: chooses the next change to propose, and feeds the gate with the figures of all instances.

Sans-IO.  Every instance runs a driver, so that no evidence is lost when the leader dies; only the leader
(`Releases.is_leader`) proposes the changes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from thistleshore.releases import places, waves
from thistleshore.releases.gate import Gate, GateResult, GateSettings, Tally, Verdict
from thistleshore.releases.model import FleetObservation, Refusal, Release, Value

INTERVAL = 1.0  # seconds of one comparison
WARM_UP = 2.0  # seconds after a process's first report for which it is ignored, as new processes are slower
MAX_UNSETTLED = 15.0  # seconds for which an unsettled view only pauses a release; then it halts
MAX_OVER_LIMIT = 15.0  # seconds for which more members out than allowed only pause it; then it halts

# Since the start: requests, answered in time, rejected; of those in time: within the aim, with one upstream request.
Counts = tuple[int, int, int, int, int]


HostCounts = tuple[int, int, int]  # upstream requests: ended, successful, successful within the aim


class Figures(NamedTuple):
    """Report of one process: its name, start identifier, version, and counts by class and by host."""

    name: str
    boot: int
    version: str
    classes: Mapping[str, Counts]
    hosts: Mapping[str, HostCounts] = {}  # noqa: RUF012 - of its upstream requests to each host


class DriverInput(NamedTuple):
    """What the instance observes now: members, state of the view, and the figures of all processes."""

    observation: FleetObservation
    settled: bool
    majority: bool
    figures: Iterable[Figures]


class Step(NamedTuple):
    """A change to propose, and the reason for it."""

    change: Callable[[Value, str, float], Value | Refusal]
    reason: str


def tallies(difference: Mapping[str, Iterable[Counts]]) -> dict[str, Tally]:
    """Return the tallies of one group in one interval by stratum, from the counts by class."""
    result: dict[str, Tally] = {}

    def add(stratum: str, tries: int, good: int) -> None:
        before = result.get(stratum, Tally(0, 0))
        result[stratum] = Tally(before.tries + tries, before.good + max(0, min(good, tries)))

    for name, rows in difference.items():
        for requests, in_time, rejected, prompt, first in rows:
            add("service", requests, in_time)
            add(f"service of {name}", requests, in_time)
            add(f"taken of {name}", requests, requests - rejected)
            add(f"attempts of {name}", in_time, first)
            add(f"latency of {name}", in_time, prompt)
    return result


class Driver:
    """The driver of one instance.  `next_step` returns the next change, or None and sets `blocked_by`."""

    def __init__(self) -> None:
        self.blocked_by = ""  # reason for not advancing now
        self.gate_result: GateResult | None = None  # last result of the gate
        self._release = (0, -1)  # release and wave of the gate
        self._gate: Gate | None = None
        self._counts: dict[tuple[str, int], Mapping[str, Counts]] = {}
        self._hosts_updated_at: dict[str, float] = {}  # when each host got the new version
        self._host_counts: dict[tuple[str, int], Mapping[str, HostCounts]] = {}
        self._first_report_at: dict[tuple[str, int], float] = {}  # time of the first report of each process
        self._last_interval_at = 0.0
        self._problems_since: dict[str, float] = {}
        self._places_since: dict[int, float] = {}  # when each place of the release was first seen here
        self._nothing_to_compare = False
        self._wave_updated_at: float | None = None  # when the whole wave had the new version

    def next_step(self, value: Value, inputs: DriverInput, now: float) -> Step | None:
        release = value.release
        if release is None or release.state not in waves.ACTIVE_STATES:
            self.blocked_by, self._release, self._gate, self._places_since = "", (0, -1), None, {}
            self._problems_since.clear()
            self._hosts_updated_at, self._host_counts = {}, {}
            self._counts = {}  # counts during a halt are no evidence for later intervals
            return None
        number = release.number
        self._feed_gate(value, release, inputs, now)
        if release.state == "going" and self.gate_result is not None and self.gate_result.verdict is Verdict.WORSE:
            state = "undoing" if release.worse == "undo" else "halted"
            result = self.gate_result
            why = f"{result.stratum}: {result.new:.1%} of {result.tries}, {result.old:.1%} without it"
            return Step(lambda v, by, when: waves.change_state(v, number, state, why, by, when), why)
        if problem := self._halt_reason(value, inputs, now):
            return Step(lambda v, by, when: waves.change_state(v, number, "halted", problem, by, when), problem)
        if self.blocked_by:
            return None
        return self._next(value, release, inputs, now)

    # -- pause and halt

    def _halt_reason(self, value: Value, inputs: DriverInput, now: float) -> str:
        """Return the reason to halt, or ""; sets `blocked_by` for problems that only pause the release so far."""
        assert value.release is not None
        down = inputs.observation.dispatchers_down
        with_place = {place.name for place in value.places if place.kind == "dispatcher"}
        allowed = places.max_allowed(value.limits.dispatchers, len(inputs.observation.dispatchers))
        over = len(down | with_place) - allowed
        conditions = {
            "the view has no majority": (not inputs.majority, MAX_UNSETTLED),
            "the view is not settled": (not inputs.settled, MAX_UNSETTLED),
            f"more are out than {allowed}: {', '.join(sorted(down | with_place))}": (over > 0, MAX_OVER_LIMIT),
        }
        self._problems_since = {
            text: self._problems_since.get(text, now) for text, (present, _) in conditions.items() if present
        }
        self.blocked_by = next(iter(self._problems_since), "")
        midway = {place.number: place for place in value.places if place.release}
        self._places_since = {n: self._places_since.get(n, now) for n in midway}
        for text, since in self._problems_since.items():
            if now - since >= conditions[text][1]:
                return f"{text}, for {now - since:.0f} s"
        for n, since in self._places_since.items():
            if now - since >= value.release.within:
                return f"{midway[n].name} is not through after {now - since:.0f} s"
        return ""

    def _next(self, value: Value, release: Release, inputs: DriverInput, now: float) -> Step | None:
        number = release.number
        remaining = waves.remaining(value)
        self._wave_updated_at = None if remaining else now if self._wave_updated_at is None else self._wave_updated_at
        for name in remaining:
            if value.place(release.kind, name) is not None:
                continue
            outcome = waves.grant(value, number, name, "", inputs.observation, 0.0)
            if isinstance(outcome, Refusal):
                self.blocked_by = outcome.reason
                continue
            return Step(
                lambda v, by, when, name=name: waves.grant(v, number, name, by, inputs.observation, when),  # type: ignore[misc]
                f"a place for {name}",
            )
        if remaining:
            self.blocked_by = self.blocked_by or f"waiting for {', '.join(remaining)}"
            return None
        if release.state == "undoing":
            return Step(
                lambda v, by, when: waves.change_state(v, number, "undone", release.told, by, when), "all are back"
            )
        verdict = self.gate_result.verdict if self.gate_result is not None else Verdict.WAIT
        if verdict is Verdict.UNTOLD:
            text = "too few requests to tell whether it is worse"
            return Step(lambda v, by, when: waves.change_state(v, number, "halted", text, by, when), text)
        last = release.wave + 1 == len(release.waves)
        assert self._wave_updated_at is not None
        if not self._nothing_to_compare and (
            verdict is not Verdict.FINE or now - self._wave_updated_at < release.enough
        ):
            self.blocked_by = (
                f"the gate: {Verdict.WAIT.value}"  # also until `enough` has passed since the last change of the wave
            )
            return None
        if last:
            return Step(lambda v, by, when: waves.change_state(v, number, "done", "", by, when), "all have it")
        wave = release.wave
        return Step(lambda v, by, when: waves.next_wave(v, number, wave, "", by, when), f"wave {wave + 2}")

    # -- the gate

    def _feed_gate(self, value: Value, release: Release, inputs: DriverInput, now: float) -> None:
        """Feed the gate of the current wave with the counts since the last interval."""
        if release.state != "going":
            self._gate = self.gate_result = None
            return
        if self._release != (release.number, release.wave):
            # Each wave has its own gate, as more members with the new version may behave differently.
            self._release, self._gate, self.gate_result = (release.number, release.wave), None, None
        if release.kind == "host":
            self._feed_host_gate(value, release, inputs, now)
            return
        new = release.version.name
        runs = {figures.name: figures.version == new for figures in inputs.figures}
        # With all members on the new version there is no group to compare with.
        self._nothing_to_compare = bool(runs) and all(runs.values()) and not waves.remaining(value)
        if now - self._last_interval_at < INTERVAL:
            return
        self._last_interval_at = now
        groups: tuple[dict[str, list[Counts]], dict[str, list[Counts]]] = ({}, {})
        single: dict[str, tuple[int, int]] = {}
        members: dict[str, dict[str, Tally]] = {}
        counts: dict[tuple[str, int], Mapping[str, Counts]] = {}
        for figures in inputs.figures:
            key = figures.name, figures.boot
            counts[key] = figures.classes
            before = self._counts.get(key)
            if before is None or now - self._first_report_at.setdefault(key, now) < WARM_UP:
                continue  # baseline for later differences
            has_new = figures.version == new
            here: dict[str, list[Counts]] = {}
            for name, row in figures.classes.items():
                last = before.get(name, (0, 0, 0, 0, 0))
                difference: Counts = tuple(a - b for a, b in zip(row, last, strict=True))  # type: ignore[assignment]
                groups[has_new].setdefault(name, []).append(difference)
                here[name] = [difference]
                if has_new:
                    tries, good = single.get(figures.name, (0, 0))
                    single[figures.name] = tries + difference[0], good + difference[1]
            if not has_new:
                members[figures.name] = tallies(here)
        self._counts, self._first_report_at = counts, {key: self._first_report_at.get(key, now) for key in counts}
        if not groups[1] or not groups[0]:
            return
        old, fresh = tallies(groups[0]), tallies(groups[1])
        pairs = {stratum: (old.get(stratum, Tally(0, 0)), tally) for stratum, tally in fresh.items()}
        for name, (tries, good) in single.items():
            stratum = f"service at {name}"
            pairs[stratum] = old.get("service", Tally(0, 0)), Tally(tries, max(0, min(good, tries)))
            for strata in members.values():
                strata[stratum] = strata.get("service", Tally(0, 0))
        self._judge(release, pairs, now, members)

    def _feed_host_gate(self, value: Value, release: Release, inputs: DriverInput, now: float) -> None:
        """Compare ticket workers with and without the new version, by the counts of all dispatchers."""
        new = {name for name in release.former if value.version_of("host", name) == release.version.name}
        self._nothing_to_compare = not set(release.former) - new
        for name in new:
            self._hosts_updated_at.setdefault(name, now)
        if now - self._last_interval_at < INTERVAL:
            return
        self._last_interval_at = now
        sums = [[0, 0, 0], [0, 0, 0]]
        counts: dict[tuple[str, int], Mapping[str, HostCounts]] = {}
        for figures in inputs.figures:
            key = figures.name, figures.boot
            counts[key] = figures.hosts
            for name, row in figures.hosts.items():
                # Skip hosts that have just restarted: they are cold, whatever their version.
                if (
                    name not in release.former
                    or key not in self._counts
                    or name in new
                    and (now - self._hosts_updated_at[name] < 2 * WARM_UP)
                ):
                    continue
                last = self._host_counts.get(key, {}).get(name, (0, 0, 0))
                for n in range(3):
                    sums[name in new][n] += row[n] - last[n]
        self._host_counts, self._counts = counts, {key: {} for key in counts}
        (old, old_ok, old_fast), (fresh, ok, fast) = sums
        if old and fresh:
            self._judge(
                release,
                {
                    "results": (Tally(old, old_ok), Tally(fresh, min(ok, fresh))),
                    "run time": (Tally(old_ok, old_fast), Tally(ok, min(ok, fast))),
                },
                now,
            )

    def _judge(
        self,
        release: Release,
        pairs: Mapping[str, tuple[Tally, Tally]],
        now: float,
        members: Mapping[str, Mapping[str, Tally]] | None = None,
    ) -> None:
        if self._gate is None:
            strata = {*pairs, *(f"service at {name}" for wave in release.waves[: release.wave + 1] for name in wave)}
            settings = GateSettings(
                error=release.error, margin=release.margin, min_duration=release.enough, max_duration=release.bound
            )
            self._gate = Gate(sorted(strata), settings, now)
        self.gate_result = self._gate.on_interval(pairs, now, members)
