"""The broker's timers: in order, and no more of them than streams that still need one."""

from __future__ import annotations

import trio
from hypothesis import given, strategies as st

from oxbowarch.brain import Brain
from oxbowarch.interface import Effect, JobClass, Settings
from tests.support import play, steady
from thistleshore.core import model
from thistleshore.core.broker import Broker
from thistleshore.core.timers import COMPACT_LEAST, TimerQueue


@steady
@given(st.lists(st.tuples(st.floats(0, 9), st.integers(0, 50)), max_size=60), st.sets(st.integers(0, 50)))
def test_needed_timers_come_in_the_order_of_their_times(timers: list[tuple[float, int]], needed: set[int]) -> None:
    queue = TimerQueue(needed.__contains__)
    queue._compact_at = 8
    for due, token in timers:
        queue.add(due, token)
    found = [queue.pop() for _ in range(len(queue))]
    wanted = [token for _, token in sorted(timers) if token in needed]
    assert [token for token in found if token in needed] == wanted


def test_requests_that_say_they_wait_for_an_hour_leave_no_timers_behind() -> None:
    # picture (c) of issue 58: each left one for that hour, without end
    async def scenario() -> tuple[int, int]:
        rule = JobClass(Effect.SAFE, aim=0.1, give_up=5.0)
        broker = Broker(Brain(Settings(1, 0, (rule,)), 1, trio.current_time()), ("c",))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(broker.run)
            for n in range(3 * COMPACT_LEAST):
                stream = model.Stream(str(n), 0, trio.current_time() + 3600.0)
                await broker.inbox.send(model.StreamOpened(stream))
                if n % 100 == 0:
                    await stream.answered.wait()
            await stream.answered.wait()
            nursery.cancel_scope.cancel()
        return broker.open_streams, len(broker._timers)

    open_streams, timers = play(scenario)
    assert open_streams == 0 and timers <= COMPACT_LEAST + 1
