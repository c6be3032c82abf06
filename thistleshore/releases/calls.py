"""Admin calls of operators and of this dispatcher's keeper about places, releases and the register.

Each answer is a JSON object; its `status` is done, refused or no-majority.
"""

from __future__ import annotations

import os
import random
import time
from collections.abc import Sequence
from typing import Any, cast

import msgspec

from thistleshore.releases import places, waves
from thistleshore.releases.carrier import NoMajority, Releases
from thistleshore.releases.messages import Deposit, Deposited, Install, Known, Learn
from thistleshore.releases.model import Kind, Limits, Refusal, Value
from thistleshore.releases.register import NO_BALLOT, Accepted, Change, Unable, VoterState

Answer = dict[str, Any]
RELEASE_STATES = {"halt": "halted", "undo": "undoing", "resume": "resume"}  # requested state by call


class ReleaseCalls:
    """Answers the admin calls to one instance."""

    def __init__(self, releases: Releases) -> None:
        self.releases = releases

    async def on_call(self, name: str, words: Sequence[str]) -> Answer:
        """Return the answer to one call."""
        try:
            return await self._answer(name, words)
        except NoMajority as problem:
            return {"status": "no-majority", "told": str(problem), "known": self.describe()}

    async def _answer(self, name: str, words: Sequence[str]) -> Answer:
        match name:
            case "out":
                return {"status": "done", **self.describe()}
            case "release":
                return {"status": "done", **self.describe_release()}
            case "order":
                return self._describe_order()
            case "begin":
                return await self._begin()
            case "voters":
                return await self._reinstall_voter(words[0])
            case "drain" | "return":
                return await self._change_place(name, words)
            case _:
                return await self._apply_change(self._change(name, words))

    # -- changes of the value --------------------------------------------------------------------

    async def _apply_change(self, change: Change) -> Answer:
        return _outcome(await self.releases.change(change))

    def _change(self, name: str, words: Sequence[str]) -> Change:
        """Return the change of the value that a call requests."""
        now, own_name = time.time(), self.releases.name
        match name:
            case "limits":
                limits = msgspec.json.decode(words[0], type=Limits)
                return lambda value: places.set_limits(value, limits, own_name, now)
            case "start":
                plan = waves.read_plan(msgspec.json.decode(" ".join(words)))
                zones = self.releases.zones(plan.service)
                return lambda value: waves.start(value, plan, zones, own_name, now)
            case "takes":
                return self._begin_place("dispatcher", own_name, int(words[0]), now)
            case "host-takes":
                return self._begin_place("host", words[0], int(words[1]), now)
            case "arrived" | "failed":
                return self._finish_change("dispatcher", own_name, name == "arrived", words, now)
            case "host-arrived" | "host-failed":
                return self._finish_change("host", words[0], name == "host-arrived", words[1:], now)
            case _:
                return self._change_release_state(RELEASE_STATES[name], " ".join(words), now)

    def _begin_place(self, kind: Kind, name: str, number: int, now: float) -> Change:
        return lambda value: places.begin(value, kind, name, number, self.releases.name, now)

    def _finish_change(self, kind: Kind, name: str, arrived: bool, words: Sequence[str], now: float) -> Change:
        """Record the end of a version change: success if `arrived`, else a failure with its reason."""
        version, reason, own_name = words[0].removeprefix("-"), " ".join(words[1:]), self.releases.name
        if arrived:
            return lambda value: waves.arrived(value, name, version, own_name, now, kind)
        return lambda value: waves.failed(value, name, version, reason, own_name, now, kind)

    def _change_release_state(self, state: str, reason: str, now: float) -> Change:
        """Return a change of the state of whichever release is current when it is applied."""

        def change(value: Value) -> Value | Refusal:
            number = value.release.number if value.release is not None else 0
            return waves.change_state(value, number, state, reason, self.releases.name, now)

        return change

    async def _change_place(self, name: str, words: Sequence[str]) -> Answer:
        """Grant or free the place of a dispatcher or host."""
        if words[0] not in ("dispatcher", "host"):
            return {"status": "refused", "told": "expected dispatcher or host"}
        kind, which, reason = cast(Kind, words[0]), words[1], " ".join(words[2:])
        now, own_name, seen = time.time(), self.releases.name, self.releases.observe()

        def change(value: Value) -> Value | Refusal:
            if name == "drain":
                return places.grant(value, kind, which, reason, own_name, seen, now)
            return places.free(value, kind, which, reason, own_name, now)

        result = await self.releases.change(change)
        if isinstance(result, Value):
            await self.releases.apply()
        return {**_outcome(result), **self.state(kind, which)}

    # -- the register itself -----------------------------------------------------------------------

    async def _begin(self) -> Answer:
        """Initialize the register if none of its voters holds one."""
        plan = self.releases.plan
        voters = tuple(sorted(plan.voters))
        replies = await self.releases.ask_all(dict.fromkeys(voters, Learn()))
        if missing := [name for name, reply in replies.items() if not isinstance(reply, Known)]:
            raise NoMajority(f"all voters must answer to begin the register; no answer from {', '.join(missing)}")
        initialized = {
            name: reply for name, reply in replies.items() if isinstance(reply, Known) and reply.value is not None
        }
        begun = {(reply.register, reply.writes) for reply in initialized.values()}
        if len(begun) > 1 or begun and (len(initialized) == len(voters) or next(iter(begun))[1] > 1):
            return {"status": "refused", "told": f"{', '.join(initialized)} hold a register already"}
        # A register initialized at some voters, and unchanged since, is initialized at the rest.
        register = next(iter(begun))[0] if begun else random.SystemRandom().getrandbits(62) + 1
        value = next((reply.value for reply in initialized.values()), None) or Value(1, voters, plan.limits)
        installs = {
            name: Install(VoterState(register, name, (1, ""), (1, ""), value, 1), begin=True)
            for name in voters
            if name not in initialized
        }
        replies = await self.releases.ask_all(installs)
        if failed := {name: reply for name, reply in replies.items() if not isinstance(reply, Accepted)}:
            reasons = "; ".join(f"{voter}: {_failure_reason(reply)}" for voter, reply in failed.items())
            return {"status": "no-majority", "told": f"not begun at all voters, try again: {reasons}"}
        await self.releases.poll_voters()
        return {"status": "done", "number": 1}

    async def _reinstall_voter(self, name: str) -> Answer:
        """Reinstall a voter whose file was lost: remove it from the voters, write a new state, and add it again."""
        if name not in self.releases.plan.voters:
            return {"status": "refused", "told": f"this instance's settings list no voter named {name}"}
        now, own_name = time.time(), self.releases.name
        result = await self.releases.change(lambda value: places.change_voter(value, name, False, own_name, now))
        if isinstance(result, Refusal):
            return _outcome(result)
        writes = self.releases.seen.get(name, 0) + 1
        state = VoterState(self.releases.register, name, NO_BALLOT, NO_BALLOT, None, writes)
        reply = await self.releases.ask(name, Install(state, begin=False))
        problem = (
            _failure_reason(reply)
            if not isinstance(reply, Accepted)
            else await self._deposit_current_body(name, result)
        )
        if problem:
            return {
                "status": "refused",
                "told": f"{name} was removed from the voters and could not be added again: {problem}",
            }
        return await self._apply_change(lambda value: places.change_voter(value, name, True, own_name, now))

    async def _deposit_current_body(self, name: str, value: Value) -> str:
        """Store the body of the version in force at a reinstalled voter; return the failure reason, or ""."""
        entry = value.configuration.current
        if entry is None:
            return ""
        body = await self.releases.fetch_body(entry.digest)
        if body is None:
            return f"no voter gave the body of version {entry.number}"
        reply = await self.releases.ask(name, Deposit(entry.digest, body))
        return "" if isinstance(reply, Deposited) else _failure_reason(reply)

    # -- state known here --------------------------------------------------------------------------

    def _describe_order(self) -> Answer:
        """Return the instructions to this dispatcher's keeper."""
        value = self.releases.known
        if value is None or not self.releases.has_recent_majority:
            return {"status": "no-majority", "told": "no majority has confirmed the value recently", "pid": os.getpid()}
        instructions = waves.order(value, self.releases.name)
        version = None if instructions.version is None else msgspec.to_builtins(instructions.version)
        return {
            "status": "done",
            "pid": os.getpid(),
            "place": instructions.place,
            "begun": instructions.begun,
            "version": version,
        }

    def describe_release(self) -> Answer:
        """Return the release as known here, who runs which version, and what blocks it."""
        value, agreed = self.releases.known, self.releases.has_recent_majority
        if value is None or value.release is None:
            return {"agreed": value is not None and agreed, "release": None}
        release, driver = value.release, self.releases.driver
        down = self.releases.observe().dispatchers_down
        live = sorted(name for name in self.releases.reports if name not in down)
        return {
            "agreed": agreed,
            "release": msgspec.to_builtins(release),
            "runs": {name: value.version_of(release.kind, name) for name in sorted(release.former)},
            "hosts": self._describe_hosts(value),
            "left": list(waves.remaining(value)),
            "held": driver.blocked_by,
            "carried_on_by": live[0] if live else "",
            "gate": self._describe_gate(),
            "out": [place.name for place in value.places if place.kind == release.kind],
            "history": [msgspec.to_builtins(act) for act in value.history],
        }

    def _describe_hosts(self, value: Value) -> list[Answer]:
        """Return the hosts that a release is changing now."""
        return [
            {
                "host": place.name,
                "place": place.number,
                "begun": place.begun,
                "service": place.service,
                "version": waves.target(value, place.name, "host"),
                **self.state("host", place.name),
            }
            for place in value.places
            if place.kind == "host" and place.release
        ]

    def _describe_gate(self) -> Answer | None:
        gate = self.releases.driver.gate_result
        if gate is None:
            return None
        return {**gate._asdict(), "verdict": gate.verdict.name.lower(), "told": gate.verdict.value}

    def state(self, kind: str, name: str) -> Answer:
        """Return how far a member has gone out; a host is `out` once all live instances have reported it clear."""
        value, seen = self.releases.known, self.releases.observe()
        place = value.place(kind, name) if value is not None else None
        if place is None:
            return {"state": "back", "waiting_for": []}
        live = [member for member in seen.dispatchers if member not in seen.dispatchers_down]
        if kind == "dispatcher":
            if place.begun and name not in live:
                return {"state": "out", "waiting_for": []}
            return {"state": "begun" if place.begun else "given", "waiting_for": [name]}
        late = [member for member in sorted(live) if not self._is_clear(member, name, place.number)]
        return {"state": "begun" if late else "out", "waiting_for": late}

    def _is_clear(self, member: str, host: str, number: int) -> bool:
        """Return whether a member has applied that change and has no requests left at the host."""
        releases = self.releases
        report = releases.report() if member == releases.name else releases.reports.get(member)
        return report is not None and report.applied >= number and host in report.clear

    def describe(self) -> Answer:
        """Return the value as known here, and whether a majority has confirmed it recently."""
        value, voter = self.releases.known, self.releases.voter
        if value is None:
            return {"number": 0, "agreed": False, "places": [], "voters": []}
        return {
            "number": value.number,
            "agreed": self.releases.has_recent_majority,
            "voters": list(value.voters),
            "limits": msgspec.to_builtins(value.limits),
            "votes_here": None if voter is None else voter.unable_reason or "yes",
            "places": [{**msgspec.to_builtins(place), **self.state(place.kind, place.name)} for place in value.places],
            "history": [msgspec.to_builtins(act) for act in value.history],
        }


def _outcome(result: Value | Refusal) -> Answer:
    if isinstance(result, Refusal):
        return {
            "status": "refused",
            "limit": result.limit,
            "allowed": result.allowed,
            "out": list(result.out),
            "told": result.reason,
        }
    return {"status": "done", "number": result.number}


def _failure_reason(reply: object) -> str:
    """Return why a voter did not do as requested."""
    return reply.why if isinstance(reply, Unable) else "no answer"
