"""Three voters of one register in one process, and instances that reach them without sockets."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import trio

from tests.support import play
from thistleshore.configuration import store
from thistleshore.distribution.model import digest_of
from thistleshore.releases.calls import ReleaseCalls
from thistleshore.releases.carrier import Releases
from thistleshore.releases.messages import Body, FetchBody
from thistleshore.releases.model import Limits
from thistleshore.releases.plan import ReleasesPlan
from thistleshore.releases.voter import Voter

NAMES = ("a", "b", "c")


class Tier:
    """Three voters with disks in one process, and instances that reach them without sockets."""

    def __init__(self, folder: Path, without: tuple[str, ...] = ()) -> None:
        self.folder = folder
        self.deaf: set[str] = set()
        self.voters = {name: self.voter(name, name not in without) for name in NAMES}

    def voter(self, name: str, with_bodies: bool = True) -> Voter:
        folder = self.folder / name
        bodies = store.FileBodyStore(folder / store.BODY_FOLDER) if with_bodies else None
        return Voter(name, folder, bodies)

    def instance(self, name: str) -> Releases:
        plan = ReleasesPlan(dict.fromkeys(NAMES, ("127.0.0.1", 1)), Limits())
        nothing: Any = None
        this = Releases(plan, name, 1, nothing, nothing, nothing, nothing, nothing, nothing, lambda: nothing, nothing)

        async def ask(voter: str, question: Any) -> Any:
            await trio.sleep(0.01)
            if voter in self.deaf:
                await trio.sleep(0.3)
                return None
            return self.voters[voter].answer(question, trio.current_time())

        this.ask = ask  # type: ignore[method-assign]
        return this

    async def begin(self) -> Releases:
        for voter in self.voters.values():
            await voter.open()
        this = self.instance("x")
        assert (await ReleaseCalls(this).on_call("begin", ()))["status"] == "done"
        return this

    def holders(self, body: bytes) -> set[str]:
        asked = FetchBody(digest_of(body))
        return {name for name, voter in self.voters.items() if isinstance(voter.answer(asked, 0.0), Body)}


def on_tier(scenario: Callable[[Tier], Awaitable[None]], tmp_path: Path, without: tuple[str, ...] = ()) -> None:
    async def run() -> None:
        tier = Tier(tmp_path, without)
        try:
            await scenario(tier)
        finally:
            for voter in tier.voters.values():
                voter.close()

    play(run)
