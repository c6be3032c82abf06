"""The membership protocol of one member as a state machine without I/O: datagrams and time in, actions out.

Every public event method takes the time (seconds of a monotonic clock), changes the state and returns actions; none
blocks.  `due` is the time at which `on_time` is to be called next.  A call that is much later means that this process
was stopped or starved in between; that gap does not count against other members.
"""

from __future__ import annotations

import random as randoms
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from math import ceil, inf, log2
from zlib import crc32

import msgspec

from thistleshore.addresses import Address
from thistleshore.fleet import wire
from thistleshore.fleet.model import (
    BUCKETS,
    GOSSIP_FACTOR,
    INDIRECT_PROBES,
    MAX_HEALTH,
    MAX_LATENESS,
    MAX_MEMBERS,
    OBSERVATIONS,
    TRANSITIONS,
    Action,
    Changed,
    Observation,
    Record,
    Send,
    Service,
    State,
    Terms,
)

SEQUENCE_WINDOW = 64  # sequence numbers of a sender within which reordered datagrams are accepted
MAX_REPLY_DATAGRAMS = 8  # datagrams with records in answer to one anti-entropy message
MAX_RECENT_EVENTS = 1024  # events that are retained for the call `events`


class Member:
    """The local state of one other member."""

    __slots__ = (
        "contact_at",
        "contact_interval",
        "digest",
        "extra_suspicion",
        "known_count",
        "newest_number",
        "record",
        "seen_mask",
        "since",
        "suspect_since",
        "suspected_by",
    )

    def __init__(self, record: Record, now: float) -> None:
        self.record, self.since = record, now
        self.digest = -1  # of its view, as last received
        self.known_count = 0  # members that it knows, as last received
        self.newest_number = -1  # greatest sequence number received
        self.seen_mask = 0  # bit mask of the sequence numbers received, bit 0 for the newest
        self.suspected_by: set[str] = set()  # names of those that suspect it
        self.suspect_since = now
        self.contact_at, self.contact_interval = inf, 0.0
        self.extra_suspicion = 0.0  # seconds added to the suspicion timeout, as an unhealthy local probe began it


class _Probe:
    """The probe in progress."""

    __slots__ = ("asked", "deadline", "indirect_at", "name", "number", "refused")

    def __init__(self, name: str, number: int, indirect_at: float, deadline: float) -> None:
        self.name, self.number, self.indirect_at, self.deadline = name, number, indirect_at, deadline
        self.asked = self.refused = 0  # helpers asked for an indirect probe, and those that answered with NACK


class _IndirectProbe:
    """An indirect probe that this member runs for another one."""

    __slots__ = ("number", "sender", "until")

    def __init__(self, sender: Record, number: int, until: float) -> None:
        self.sender, self.number, self.until = sender, number, until


class Fleet:
    """The fleet as one member sees it."""

    def __init__(
        self,
        fleet: str,
        me: Record,
        terms: Terms,
        seeds: Sequence[Address],
        now: float,
        seed: int = 0,
        allowed: Callable[[str], bool] = lambda host: True,
        number: int = 0,
    ) -> None:
        """Begin outside the fleet; the member joins once `on_time` finds that it may.

        `me` has a generation above zero.  `allowed` says whether datagrams may be exchanged with a host.  `number` is
        the sequence number of the predecessor's last datagram where a hot restart continues its generation, else 0.
        """
        # Plain integers: an enumeration has another text, and digests are computed from texts.
        self.own_record = msgspec.structs.replace(me, state=int(me.state), service=int(me.service))
        self.fleet, self.terms, self.allowed = fleet, terms, allowed
        self.first_generation = me.generation
        self.seeds = tuple(dict.fromkeys(seed for seed in seeds if seed != me.address))
        self.members: dict[str, Member] = {}
        self._not_alive: dict[str, Member] = {}  # few, so that timers need no scan of all members
        self.counts: Counter[str] = Counter()
        self.health = 0  # Lifeguard's health score; 0: healthy, grows with each sign that this instance is slow
        self.observing = True  # not a member yet, or not any more because another process has the name
        self.leaving = False
        self.rival: Record | None = None  # another live process with this name
        self.settled = False
        self.changed_at = now
        self.received_any = not self.seeds
        self.recent_events: deque[tuple[int, float, Changed]] = deque(maxlen=MAX_RECENT_EVENTS)
        self._event_number = 0
        self._random = randoms.Random(seed)
        self.number = number
        self._continues = number > 0
        self._round: list[str] = []
        self._probe: _Probe | None = None
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._gossip_counts: dict[str, int] = {}  # by member name: how often the record was sent as gossip
        # The pending PING to another process with this name: probe number, its record, deadline, attempts left.
        self._challenge: tuple[int, Record, float, int] | None = None
        self._digest: int | None = None
        self._buckets: bytes | None = None
        self.born = now
        self._next_probe = now + terms.period * (0.5 + 0.5 * self._random.random())
        self._next_sync = now
        self._next_seed = now
        self._seed_interval = terms.period / 2
        self._actions: list[Action] = []

    # -- queries of the rest of this process ------------------------------------------------------

    @property
    def due(self) -> float:
        """Return the time at which `on_time` is to be called next."""
        times = [self._next_probe, self._next_sync, self._next_seed]
        if (probe := self._probe) is not None:
            times.append(min(probe.indirect_at, probe.deadline))
        if self._challenge is not None:
            times.append(self._challenge[2])
        times += [indirect.until for indirect in self._indirect_probes.values()]
        for member in self._not_alive.values():
            if member.record.state == State.SUSPECT:
                times.append(self._suspicion_deadline(member))
            else:
                times.append(min(member.contact_at, self._removal_time(member)))
        return min(times)

    @property
    def digest(self) -> int:
        """Return the checksum of the names, generations and service states in the view; equal at all once settled."""
        if self._digest is None:
            rows = sorted((record.name, record.generation, record.service) for record in self.living())
            self._digest = crc32(repr(rows).encode())
        return self._digest

    def living(self) -> list[Record]:
        """Return the records that are neither DEAD nor LEFT, with this member's own unless it is not a member."""
        records = [member.record for member in self.members.values() if member.record.state < State.DEAD]
        return records if self.observing or self.leaving else [*records, self.own_record]

    @property
    def alive_count(self) -> int:
        """Return the number of members that are not DEAD or LEFT, this one included."""
        return len(self.living())

    @property
    def known_count(self) -> int:
        """Return the number of known members, with dead ones until they are forgotten, this one included."""
        return sum(member.record.state != State.LEFT for member in self.members.values()) + (not self.observing)

    @property
    def majority(self) -> bool:
        """Return whether more than half of all known members are alive in this view.

        False while no seed has answered, and while this process is not a member.  The total includes members that only
        others know: a process that has just joined a minority partition knows none of the dead ones.
        """
        known_count = self.known_count + self.unlisted_count
        return self.received_any and not self.observing and not self.leaving and 2 * self.alive_count > known_count

    @property
    def unlisted_count(self) -> int:
        """Return how many more members some live member knows: a new member is not sent the records of dead ones."""
        return max([0, *(member.known_count - self.known_count for member in self._live_members())])

    @property
    def knows_all(self) -> bool:
        """Return whether no live member knows more members; False while no seed has answered, or outside the fleet."""
        return self.received_any and not self.observing and not self.unlisted_count

    def bound(self) -> float:
        """Return the seconds within which the view settles after the last fault, without datagram loss."""
        fleet = len(self.members) + 1
        return max(self.terms.detection_bound(fleet), self.terms.healing_bound(fleet))

    # -- events -----------------------------------------------------------------------------

    def on_time(self, now: float) -> list[Action]:
        """Run all timers that are due."""
        self._detect_stall(now)
        if self.leaving:
            self._next_probe = self._next_sync = self._next_seed = now + self.terms.period
            return self._take_actions()
        if now >= self._next_seed:
            self._contact_seeds(now)
        if self.observing:
            self._maybe_join(now)
        if self._challenge is not None and now >= self._challenge[2]:
            self._challenge_unanswered(now)
        self._run_probe(now)
        if now >= self._next_sync:
            self._next_sync = now + self.terms.sync_interval * (0.75 + 0.5 * self._random.random())
            if alive := self._live_members():
                self._send_sync(self._random.choice(alive), now)
        for name, member in list(self._not_alive.items()):
            self._run_member_timers(name, member, now)
        for number, indirect in list(self._indirect_probes.items()):
            if now >= indirect.until:
                del self._indirect_probes[number]
                self._send(indirect.sender, wire.NACK, probe=indirect.number)
        self._update_settled(now)
        return self._take_actions()

    def on_datagram(self, data: bytes, host: str, now: float) -> list[Action]:
        """Process a datagram; one that is invalid or for another member is counted and changes nothing else."""
        self._detect_stall(now)
        if not self.allowed(host):
            return self._count_ignored("network")
        try:
            message = wire.read(data, self.fleet, self.terms.datagram)
        except wire.DatagramError as problem:
            return self._count_ignored(str(problem))
        sender = message.sender
        if sender.name == self.own_record.name:
            self._on_own_name(message, now)
            return self._take_actions()
        if message.to not in ("", self.own_record.name):
            return self._count_ignored("not_me")
        if not self.allowed(sender.host):
            return self._count_ignored("network")  # answers go to the address in the record
        previous = self.members.get(sender.name)
        if previous is not None and not message.observing:
            if sender.generation < previous.record.generation:
                # A duplicate from an earlier generation, or a process that restarted with its clock set back: the
                # answer tells it which generation others know.
                self._send(sender, wire.RECORDS, records=(previous.record,))
                return self._count_ignored("earlier_life")
            if sender.generation == previous.record.generation and not self._is_new_number(previous, message.number):
                return self._count_ignored("repeated")
        self.counts["heard"] += 1
        self.received_any = True
        if not message.observing:
            self._merge(sender, now)
            if (member := self.members.get(sender.name)) is not None:
                if member.record.generation == sender.generation:
                    member.digest, member.known_count = message.digest, message.known_count
                    self._is_new_number(member, message.number)
        for record in message.records:
            self._merge(record, now)
        if message.observing and previous is not None:
            # A process that is about to join must learn which generation of its name is known.
            self._send_to(
                sender.address,
                sender.name,
                sender.generation,
                min(sender.wire, wire.NEWEST_VERSION),
                wire.RECORDS,
                records=(previous.record,),
            )
        self._on_message(message, now)
        self._update_settled(now)
        return self._take_actions()

    def on_service(self, service: Service, now: float) -> list[Action]:
        """Publish a new service state of this process."""
        if service != self.own_record.service and not self.leaving:
            self._announce(now, service=int(service))
            self._emit("changed", self.own_record, service.name.lower())
        return self._take_actions()

    def on_print(self, fingerprint: str, now: float) -> list[Action]:
        """Publish the fingerprint of a settings file that has come into force."""
        if fingerprint != self.own_record.print and not self.leaving:
            self.own_record = msgspec.structs.replace(self.own_record, print=fingerprint)
            self._announce(now)
        return self._take_actions()

    def on_return(self, apart: int, numbers: int, now: float) -> list[Action]:
        """Resume after a successor of a hot restart that had continued this generation has failed.

        `apart` and `numbers` are added to the incarnation and the sequence number, to exceed all that the successor may
        have sent.  Otherwise others would discard the datagrams as repeated and declare this member dead.
        """
        self.number += numbers
        self.own_record = msgspec.structs.replace(self.own_record, incarnation=self.own_record.incarnation + apart)
        self._announce(now)
        return self._take_actions()

    def on_leave(self, now: float) -> list[Action]:
        """Leave the fleet; the record is sent to at most 32 members, and gossip carries it to the others."""
        if not self.leaving:
            if not self.observing:
                self._announce(now, state=int(State.LEFT))
                for member in self._random.sample(self._live_members(), min(len(self._live_members()), 32)):
                    self._send(member.record, wire.RECORDS, records=(self.own_record,))
            self.leaving = True
            self._digest = None
            self._emit("left", self.own_record)
        return self._take_actions()

    def on_forget(self, name: str, now: float) -> tuple[bool, list[Action]]:
        """Mark a dead member as LEFT for an operator; False where it is alive or not known."""
        member = self.members.get(name)
        if member is None or member.record.state < State.DEAD:
            return False, self._take_actions()
        if member.record.state == State.DEAD:
            self._merge(msgspec.structs.replace(member.record, state=int(State.LEFT), by=self.own_record.name), now)
        return True, self._take_actions()

    # -- timers ----------------------------------------------------------------------------------

    def _detect_stall(self, now: float) -> None:
        """Detect that this process was stopped or starved, and extend the timers that run against other members."""
        lateness = now - self.due
        if lateness <= MAX_LATENESS * self.terms.period:
            return
        self.counts["stalls"] += 1
        self.health = min(MAX_HEALTH, self.health + 2)
        self._probe = None
        self._indirect_probes.clear()
        for member in self.members.values():
            member.suspect_since += lateness
        self._next_probe = now + self.terms.answer_timeout * (1.0 + self._random.random())
        self._next_sync = now  # the view is likely out of date
        if self._challenge is not None:
            number, rival, _, tries = self._challenge
            self._challenge = (number, rival, now + 2 * self.terms.answer_timeout, tries)
        for member in self.members.values():
            if member.record.state == State.DEAD:
                member.contact_at = max(member.contact_at, now)
        self._emit("stalled", self.own_record, f"{lateness:.3f} s")

    def _run_member_timers(self, name: str, member: Member, now: float) -> None:
        state = member.record.state
        if state == State.SUSPECT and now >= self._suspicion_deadline(member):
            self._apply(
                member,
                msgspec.structs.replace(member.record, state=int(State.DEAD), by=self.own_record.name),
                Observation.EXPIRED,
                now,
            )
        elif state >= State.DEAD:
            if now >= self._removal_time(member):
                assert TRANSITIONS[State(state), Observation.AGED] is None
                self._remove(name)
            elif now >= member.contact_at:
                # Exponential back-off with jitter, so that members do not contact it all at once.
                member.contact_interval = min(self.terms.max_call_interval, 2 * member.contact_interval)
                member.contact_at = now + member.contact_interval * (0.75 + 0.5 * self._random.random())
                self.counts["calls"] += 1
                self._send_sync(member, now)

    def _remove(self, name: str) -> None:
        member = self.members.pop(name)
        self._not_alive.pop(name, None)
        self._gossip_counts.pop(name, None)
        self._digest = self._buckets = None
        self._emit("forgotten", member.record)

    def _suspicion_deadline(self, member: Member) -> float:
        fleet = len(self._live_members()) + 1
        return (
            member.suspect_since
            + member.extra_suspicion
            + self.terms.suspicion_timeout(fleet, max(0, len(member.suspected_by) - 1))
        )

    def _removal_time(self, member: Member) -> float:
        return member.since + (self.terms.forget if member.record.state == State.DEAD else self.terms.left_retention)

    def _live_members(self) -> list[Member]:
        return [member for member in self.members.values() if member.record.state < State.DEAD]

    # -- joining and name conflicts ---------------------------------------------------------------------

    def _contact_seeds(self, now: float) -> None:
        """Contact the seeds whose addresses belong to no live member, with exponential back-off."""
        living = {member.record.address for member in self._live_members()}
        for address in self.seeds:
            if address not in living:
                self.counts["seed_calls"] += 1
                self._send_to(address, "", 0, wire.OLDEST_VERSION, wire.SYNC, buckets=self._bucket_bytes())
        self._seed_interval = min(self.terms.max_call_interval, 2 * self._seed_interval)
        if self.observing and self.rival is not None:
            self._challenge_rival(self.rival, now)
        self._next_seed = now + self._seed_interval * (0.75 + 0.5 * self._random.random())

    def _maybe_join(self, now: float) -> None:
        """Join once other members are known and no other process has the name, or once no seed answered in time."""
        if self._challenge is None and self.rival is None:
            if not self.seeds or self.members or now >= self.born + self.terms.period:
                self._join(now)

    def _join(self, now: float) -> None:
        self.observing = False
        self._digest = self._buckets = None
        self.changed_at = now
        self._gossip_counts[self.own_record.name] = 0
        self._emit("joined", self.own_record)
        for member in self._live_members()[:INDIRECT_PROBES]:
            self._send_sync(member, now)

    def _on_own_name(self, message: wire.Message, now: float) -> None:
        """Process a datagram of a process with this member's own name."""
        sender = message.sender
        if sender.address == self.own_record.address or sender.generation == self.own_record.generation:
            self._count_ignored("own")  # own datagram that came back, or one of an earlier generation at this address
            return
        if not self.allowed(sender.host):
            self._count_ignored("network")
            return
        if message.kind == wire.PING:
            # The process with the greater generation stays out.  A sender that is out already only asks for an answer.
            self._on_name_conflict(
                sender,
                yields=not message.observing and sender.generation < self.own_record.generation and not self.observing,
                now=now,
            )
            self._send(sender, wire.ACK, probe=message.probe)
        elif message.kind == wire.ACK and self._challenge is not None and message.probe == self._challenge[0]:
            self._challenge = None
            if message.observing:
                # It stays out: the own record must take precedence over what it published before.
                self._on_name_conflict(sender, yields=False, now=now)
                if sender.generation > self.own_record.generation:
                    self._start_generation(sender.generation + 1, now)
            else:
                self._on_name_conflict(
                    sender, yields=self.observing or sender.generation < self.own_record.generation, now=now
                )
                self.rival = sender if self.observing else None

    def _on_name_conflict(self, other: Record, yields: bool, now: float) -> None:
        self.counts["contested"] += 1
        if yields and not self.observing:
            self.observing = True
            self.rival = other
            self._digest = self._buckets = None
            self.changed_at = now
        self._emit("taken", other, "stays out" if self.observing else "the other stays out")

    def _challenge_rival(self, other: Record, now: float, tries: int = 3) -> None:
        """Send a PING to another process with this name, unless one is pending."""
        if self._challenge is None:
            number = self._new_probe_number()
            self._challenge = (number, other, now + 2 * self.terms.answer_timeout, tries - 1)
            self._send_to(
                other.address,
                other.name,
                other.generation,
                min(other.wire, wire.NEWEST_VERSION),
                wire.PING,
                probe=number,
            )

    def _challenge_unanswered(self, now: float) -> None:
        assert self._challenge is not None
        _, other, _, tries = self._challenge
        self._challenge = None
        if tries > 0:
            self._challenge_rival(other, now, tries)
            return
        # The other process is gone: take the name with a greater generation.
        if self.rival is not None:
            self._emit("freed", other)
        self.rival = None
        if other.generation >= self.own_record.generation:
            self._start_generation(other.generation + 1, now)
        if self.observing:
            self._join(now)

    def _start_generation(self, generation: int, now: float) -> None:
        """Continue with a greater generation, as the clock was set back or others know another process of this name."""
        self.own_record = msgspec.structs.replace(self.own_record, generation=generation, incarnation=0)
        self.number = 0
        self._own_record_changed(now)

    def _own_record_changed(self, now: float) -> None:
        self._digest = self._buckets = None
        self._gossip_counts[self.own_record.name] = 0
        self.changed_at = now

    def _announce(self, now: float, state: int = 0, service: int | None = None) -> None:
        self.own_record = msgspec.structs.replace(
            self.own_record,
            incarnation=self.own_record.incarnation + 1,
            state=state,
            service=self.own_record.service if service is None else service,
        )
        self._own_record_changed(now)

    def _on_own_record(self, record: Record, now: float) -> None:
        """Process a record of this member that others sent."""
        me = self.own_record
        if self.leaving:
            return
        if record.generation == me.generation and self.observing and not self._continues:
            # Others cannot know a generation that has not joined: an earlier process had it before a clock set-back.
            self._start_generation(me.generation + 1, now)
        elif record.generation == me.generation:
            if record.address != me.address and not self.observing:
                self._challenge_rival(record, now)
            if record.state != State.ALIVE and record.incarnation >= me.incarnation and not self.observing:
                # Refute with a greater incarnation.  Being suspected is a sign that this instance is slow.
                self.own_record = msgspec.structs.replace(me, incarnation=record.incarnation)
                self._announce(now)
                self.counts["refutations"] += 1
                self.health = min(MAX_HEALTH, self.health + 1)
            elif record.incarnation > me.incarnation:
                self.own_record = msgspec.structs.replace(me, incarnation=record.incarnation)
                self._announce(now)
        else:
            self._on_other_generation(record, now)

    def _on_other_generation(self, record: Record, now: float) -> None:
        """Process a record of this name with another generation."""
        me = self.own_record
        gone = record.state >= State.DEAD or record.address == me.address
        if gone:
            if record.generation > me.generation:
                self._start_generation(record.generation + 1, now)
        elif record.generation > me.generation or self.observing:
            self._challenge_rival(record, now)

    # -- probes --------------------------------------------------------------------------------------

    def _run_probe(self, now: float) -> None:
        if (probe := self._probe) is not None:
            member = self.members.get(probe.name)
            if member is None or member.record.state >= State.DEAD:
                self._probe = None
            elif now >= probe.deadline:
                self._probe = None
                self._on_probe_unanswered(probe, member, now)
            elif now >= probe.indirect_at:
                # The datagram or its answer may have been lost: repeat it, and ask others for indirect probes.
                self._send(member.record, wire.PING, probe=probe.number)
                helpers = [m for m in self._live_members() if m is not member]
                for helper in self._random.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
                    probe.asked += 1
                    self._send(helper.record, wire.ASK, probe=probe.number, target=probe.name)
                probe.indirect_at = now + self.terms.answer_timeout * (1.0 + self.health)
        if now >= self._next_probe and not self.observing:
            scale = 1.0 + self.health
            self._next_probe = now + self.terms.period * scale
            if (target := self._next_target()) is not None:
                number = self._new_probe_number()
                self._probe = _Probe(
                    target.record.name, number, now + self.terms.answer_timeout * scale, self._next_probe
                )
                self.counts["probes"] += 1
                self._send(target.record, wire.PING, probe=number)
        elif self.observing:
            self._next_probe = now + self.terms.period

    def _next_target(self) -> Member | None:
        """Return the next member to probe: each once in a round, in random order, so within two rounds."""
        while True:
            if not self._round:
                self._round = [member.record.name for member in self._live_members()]
                self._random.shuffle(self._round)
                if not self._round:
                    return None
            member = self.members.get(self._round.pop())
            if member is not None and member.record.state < State.DEAD:
                return member

    def _on_probe_unanswered(self, probe: _Probe, member: Member, now: float) -> None:
        self.counts["probes_unanswered"] += 1
        missing = probe.asked - probe.refused
        # Helpers that sent not even a NACK: it may be this instance that receives nothing (Lifeguard).
        self.health = min(MAX_HEALTH, self.health + (1 if missing else 0))
        if member.record.state == State.ALIVE:
            record = msgspec.structs.replace(member.record, state=int(State.SUSPECT), by=self.own_record.name)
            member.extra_suspicion = self.health * self.terms.period
            self._apply(member, record, Observation.UNANSWERED, now)
        elif member.record.state == State.SUSPECT and self.own_record.name not in member.suspected_by:
            self._confirm(member, self.own_record.name)

    def _confirm(self, member: Member, name: str) -> None:
        """Count another member that suspects it: each confirmation shortens the suspicion timeout."""
        if name and name not in member.suspected_by and len(member.suspected_by) <= INDIRECT_PROBES:
            member.suspected_by.add(name)
            member.record = msgspec.structs.replace(member.record, by=name)
            self._gossip_counts[member.record.name] = 0

    def _on_message(self, message: wire.Message, now: float) -> None:
        sender, kind = message.sender, message.kind
        if kind == wire.PING:
            self._send(sender, wire.ACK, probe=message.probe)
        elif kind == wire.ACK:
            if (probe := self._probe) is not None and probe.number == message.probe and probe.name == sender.name:
                self._probe = None
                self.health = max(0, self.health - 1)
                self._next_probe = min(self._next_probe, now + self.terms.period * (1.0 + self.health))
            elif (indirect := self._indirect_probes.pop(message.probe, None)) is not None:
                # Pass on the target's own record, which may refute a suspicion.
                self._send(indirect.sender, wire.ACK, probe=indirect.number, target=sender.name, records=(sender,))
            elif (probe := self._probe) is not None and probe.number == message.probe and probe.name == message.target:
                self._probe = None
                self.counts["probes_indirect"] += 1
        elif kind == wire.ASK:
            target = self.members.get(message.target)
            if target is None or len(self._indirect_probes) >= 4 * INDIRECT_PROBES + len(self.members):
                self._send(sender, wire.NACK, probe=message.probe)
                return
            number = self._new_probe_number()
            # A timely NACK shows the asking member that its own connection works (Lifeguard).
            self._indirect_probes[number] = _IndirectProbe(sender, message.probe, now + 1.2 * self.terms.answer_timeout)
            self._send(target.record, wire.PING, probe=number)
        elif kind == wire.NACK:
            if (probe := self._probe) is not None and probe.number == message.probe:
                probe.refused += 1
        elif kind in (wire.SYNC, wire.REPLY):
            self._on_sync(message)

    # -- records ---------------------------------------------------------------------------------------

    def _merge(self, record: Record, now: float) -> None:
        """Merge a received record into the view where it takes precedence over the known one."""
        if record.name == self.own_record.name:
            self._on_own_record(record, now)
            return
        member = self.members.get(record.name)
        if not self.allowed(record.host):
            self.counts["network"] += 1
        elif member is None:
            if TRANSITIONS.get((None, OBSERVATIONS[State(record.state)])) is None:
                return
            if len(self.members) >= MAX_MEMBERS:
                self.counts["crowd"] += 1
                return
            self.members[record.name] = member = Member(record, now)
            if record.state == State.SUSPECT:
                member.suspected_by = {record.by}
                self._not_alive[record.name] = member
            self._round.insert(self._random.randint(0, len(self._round)), record.name)
            self._record_changed(record, now)
            self._emit("joined", record)
        elif record.order > member.record.order:
            self._apply(member, record, OBSERVATIONS[State(record.state)], now)
        elif record.order == member.record.order:
            if record.state == State.SUSPECT:
                self._confirm(member, record.by)
            if record.print and not member.record.print:  # datagram version 1 has no fingerprint
                member.record = msgspec.structs.replace(member.record, print=record.print)

    def _apply(self, member: Member, record: Record, seen: Observation, now: float) -> None:
        """Apply a state transition, publish its event and queue the record for gossip."""
        before = member.record
        if (State(before.state), seen) not in TRANSITIONS:
            return
        assert TRANSITIONS[State(before.state), seen] == record.state
        member.record = record
        if record.state == State.ALIVE:
            self._not_alive.pop(record.name, None)
        else:
            self._not_alive[record.name] = member
        if record.generation != before.generation:
            member.digest = member.newest_number = -1
            member.seen_mask = 0
        if record.state == State.SUSPECT:
            if before.state != State.SUSPECT or record.order[:2] != before.order[:2]:
                member.suspect_since, member.suspected_by = now, set()
                if seen is not Observation.UNANSWERED:
                    member.extra_suspicion = 0.0
            member.suspected_by.add(record.by)
        if record.state >= State.DEAD:
            member.contact_interval = self.terms.first_call_delay
            # A member that left on purpose is not contacted again.
            member.contact_at = now + member.contact_interval if record.state == State.DEAD else inf
        if record.state != before.state or record.generation != before.generation:
            member.since = now
        self._record_changed(record, now)
        what = self._event_name(before, record)
        if what:
            self._emit(what, record, record.by if record.state in (State.SUSPECT, State.DEAD) else "")

    @staticmethod
    def _event_name(before: Record, after: Record) -> str:
        if after.state == State.ALIVE:
            if before.state >= State.DEAD or after.generation != before.generation:
                return "returned"
            if before.state == State.SUSPECT:
                return "refuted"
            return "changed" if after.service != before.service else ""
        if after.state == before.state and after.generation == before.generation:
            return ""
        return {State.SUSPECT: "suspected", State.DEAD: "died", State.LEFT: "left"}[State(after.state)]

    def _record_changed(self, record: Record, now: float) -> None:
        self._gossip_counts[record.name] = 0
        self._digest = self._buckets = None
        self.changed_at = now

    def _update_settled(self, now: float) -> None:
        """Update whether all live members last reported the digest of the local view."""
        alive = self._live_members()
        settled = not self.observing and all(m.record.state == State.ALIVE and m.digest == self.digest for m in alive)
        if settled != self.settled:
            self.settled = settled
            if settled:
                self._emit("settled", self.own_record, f"{len(alive) + 1} members, digest {self.digest:08x}")

    def _is_new_number(self, member: Member, number: int) -> bool:
        """Return whether the sequence number is new; one that is older than the window counts as a duplicate."""
        if number > member.newest_number:
            shift = number - member.newest_number
            member.seen_mask = (
                (member.seen_mask << shift | 1) & (1 << SEQUENCE_WINDOW) - 1 if shift < SEQUENCE_WINDOW else 1
            )
            member.newest_number = number
            return True
        back = member.newest_number - number
        if back >= SEQUENCE_WINDOW or member.seen_mask >> back & 1:
            return False
        member.seen_mask |= 1 << back
        return True

    # -- anti-entropy ------------------------------------------------------------------------------

    def _bucket_bytes(self) -> bytes:
        """Return the checksums of the live records in each bucket of names."""
        if self._buckets is None:
            sums = [0] * BUCKETS
            for record in self.living():
                # A sum does not depend on the order of the records.
                sums[_bucket(record.name)] += crc32(f"{record.name} {record.order}".encode())
            self._buckets = b"".join((total & 0xFFFFFFFF).to_bytes(4, "big") for total in sums)
        return self._buckets

    def _send_sync(self, member: Member, now: float) -> None:
        self.counts["syncs"] += 1
        self._send(member.record, wire.SYNC, buckets=self._bucket_bytes())

    def _on_sync(self, message: wire.Message) -> None:
        """Send the records of the buckets that differ; a SYNC is also answered with the own checksums."""
        own, theirs = self._bucket_bytes(), message.buckets
        if len(theirs) != len(own):
            self.counts["garbage"] += 1
            return
        differ = {n for n in range(BUCKETS) if own[4 * n : 4 * n + 4] != theirs[4 * n : 4 * n + 4]}
        records = [
            member.record
            for name, member in self.members.items()
            if _bucket(name) in differ and name != message.sender.name
        ]
        # Live members first; what does not fit is sent in a later exchange.
        records.sort(key=lambda record: (record.state >= State.DEAD, self._random.random()))
        if message.kind == wire.SYNC:
            sent = self._send(message.sender, wire.REPLY, buckets=own, records=records, without_gossip=True)
        else:
            sent = 0
        for _ in range(MAX_REPLY_DATAGRAMS):
            if sent >= len(records):
                return
            sent += self._send(message.sender, wire.RECORDS, records=records[sent:], without_gossip=True)

    # -- sending datagrams -------------------------------------------------------------------------------

    def _new_probe_number(self) -> int:
        return self._random.getrandbits(48)

    def _send(
        self,
        to: Record,
        kind: int,
        probe: int = 0,
        target: str = "",
        buckets: bytes = b"",
        records: Iterable[Record] = (),
        without_gossip: bool = False,
    ) -> int:
        """Send a datagram to a member and return how many of `records` it holds; `only`: without gossip."""
        first = [record for record in records if record.name != to.name]
        member = self.members.get(to.name)
        if member is not None and (member.record.state != State.ALIVE or member.record.generation != to.generation):
            first.insert(0, member.record)  # the receiver must first learn what is known of it, so that it can refute
        own = len(first)
        gossip = [] if without_gossip else self._gossip_records({record.name for record in first} | {to.name})
        sent = self._send_to(
            to.address,
            to.name,
            to.generation,
            min(to.wire, wire.NEWEST_VERSION),
            kind,
            probe,
            target,
            buckets,
            [*first, *gossip],
        )
        limit = GOSSIP_FACTOR * ceil(log2(len(self.members) + 2))
        for record in [*first, *gossip][own:sent]:
            self._gossip_counts[record.name] += 1
            if self._gossip_counts[record.name] >= limit:
                del self._gossip_counts[record.name]
        return min(sent, own)

    def _gossip_records(self, excluded: set[str]) -> list[Record]:
        """Return the records to send as gossip, those that were sent least often first."""
        if not self._gossip_counts:
            return []
        names = sorted(
            (times, self._random.random(), name) for name, times in self._gossip_counts.items() if name not in excluded
        )
        records = []
        for _, _, name in names[: wire.MAX_RECORDS]:
            if name == self.own_record.name:
                if not self.observing:
                    records.append(self.own_record)
            elif name in self.members:
                records.append(self.members[name].record)
        return records

    def _send_to(
        self,
        address: Address,
        to: str,
        generation: int,
        version: int,
        kind: int,
        probe: int = 0,
        target: str = "",
        buckets: bytes = b"",
        records: Sequence[Record] = (),
    ) -> int:
        self.number += 1
        message = wire.Message(
            self.fleet,
            to,
            generation,
            self.observing,
            kind,
            self.number,
            probe,
            self.digest,
            self.own_record,
            target,
            buckets,
            known_count=self.known_count,
        )
        data, written_count = wire.write(message, records, version, self.terms.datagram)
        self.counts["sent"] += 1
        self.counts["bytes"] += len(data)
        self._actions.append(Send(address, data))
        return written_count

    def _emit(self, what: str, record: Record, detail: str = "") -> None:
        event = Changed(what, record.name, record.generation, record.incarnation, detail)
        self._event_number += 1
        self.recent_events.append((self._event_number, self.changed_at, event))
        self._actions.append(event)

    def _take_actions(self) -> list[Action]:
        out, self._actions = self._actions, []
        return out

    def _count_ignored(self, counter: str) -> list[Action]:
        self.counts[counter] += 1
        return self._take_actions()


def _bucket(name: str) -> int:
    return crc32(name.encode()) % BUCKETS
