"""Runs isolated instances of the decision module on the simulator's wire, from standard input to output."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import Any, BinaryIO

from oxbowarch import wire
from oxbowarch.brain import Brain
from oxbowarch.interface import ListKind, Outcome, Request, SendNotes
from oxbowarch.notes import NoteCodec


class Host:
    """One Brain per live instance; instances share only immutable decoded pages."""

    def __init__(self) -> None:
        self.codec = wire.Codec()
        self.brains: dict[int, Brain] = {}
        self.dead: set[int] = set()
        self.notebooks: dict[int, NoteCodec] = {}

    def reply(self, body: bytes) -> bytes:
        """Return the reply frame to one batch; an instance that raises an error is ended."""
        now, events = self.codec.batch(body)
        records: list[bytes] = []
        for instance, event in events:
            try:
                for action in self.deliver(instance, event, now):
                    if isinstance(action, SendNotes):
                        notes = self.notebooks[instance].write(action.notes)
                        to = (wire.EVERYONE,) if action.to is None else action.to
                        records += [wire.broadcast(instance, peer, data) for data in notes for peer in to]
                    else:
                        records.append(wire.encode(instance, action))
            except wire.WireError:
                raise
            except Exception as problem:
                traceback.print_exc(file=sys.stderr)
                if instance not in self.dead:
                    records.append(wire.fault(instance, f"{type(problem).__name__}: {problem}"))
                self.brains.pop(instance, None)
                self.dead.add(instance)
        return wire.frame(records)

    def deliver(self, instance: int, event: Any, now: float) -> Any:
        """Pass one event to its instance and return the actions; events for unknown instances are ignored."""
        kind = type(event)
        if kind is wire.Hello:
            self.brains.pop(instance, None)
            self.dead.discard(instance)
            settings, names = wire.parse_settings(event.settings)
            self.codec.place(instance, names)
            self.brains[instance] = Brain(settings, event.seed, now)
            self.notebooks[instance] = NoteCodec()
            return ()
        if kind is wire.Shutdown:
            self.brains.pop(instance, None)
            return ()
        brain = self.brains.get(instance)
        if brain is None:
            return ()
        if kind is Outcome:
            return brain.on_outcome(event, now)
        if kind is Request:
            return brain.on_request(event, now)
        if kind is wire.Notice:
            return brain.on_started(event.id, event.attempt, now) if event.started else ()
        if kind is wire.Fired:
            return brain.on_timer(event.token, now)
        if kind is wire.Mail:
            notes = self.notebooks[instance].read(event.sender, event.data, now)
            return brain.on_notes(event.sender, notes, now) if notes else ()
        if kind is wire.Update:
            self.notebooks[instance].set_workers(event.entries, event.kind in (ListKind.FULL, ListKind.CACHED))
            return brain.on_list(event.kind, event.entries, now)
        if kind is wire.Accepted:
            return brain.on_accepted(event.id, event.attempt, now)
        if kind is wire.Withdrawn:
            return brain.on_withdrawn(event.id, now)
        return ()


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Return `size` bytes, or fewer where the input ends."""
    parts = []
    while size > 0:
        part = stream.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches; return 0 if the input ends between two frames, 1 if it is invalid."""
    host = Host()
    while True:
        head = read_exactly(source, wire.LENGTH.size)
        if not head:
            return 0
        try:
            if len(head) < wire.LENGTH.size:
                raise wire.WireError("the input ends inside a frame's header")
            size = wire.LENGTH.unpack(head)[0]
            body = read_exactly(source, size)
            if len(body) < size:
                raise wire.WireError("the input ends inside a frame")
            answer = host.reply(body)
        except wire.WireError as problem:
            print(f"oxbowarch: bad input: {problem}", file=sys.stderr)
            return 1
        sink.write(answer)
        sink.flush()


def main() -> int:
    """Serve standard input; return the exit code."""
    gc.disable()  # the request path creates no cycles; a collection would stall a whole batch
    try:
        return serve(sys.stdin.buffer, sys.stdout.buffer)
    except (BrokenPipeError, KeyboardInterrupt):
        return 1


if __name__ == "__main__":
    sys.exit(main())
