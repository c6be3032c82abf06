"""`python -m benchmarks.hostile --play NAME --process one|old|new --beside 8`: one play, or all of them in turn."""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

import trio

from benchmarks.hostile.behaviours import BEHAVIOURS, CROWD
from benchmarks.hostile.connections import Connections
from benchmarks.hostile.dispatchers import MEMORY_MB, HttpSite, Site, TubeSite
from benchmarks.hostile.usual import UsualClients

MEMORY_STEP = 1.0  # s between two looks at the memory


async def play(name: str, process: str, beside: int, seconds: float) -> str:
    """One play; a line that says what was seen."""
    known = BEHAVIOURS[name]
    with tempfile.TemporaryDirectory(prefix="thistleshore-") as folder:
        site: HttpSite | TubeSite = HttpSite(Path(folder)) if known.front == "http" else TubeSite(Path(folder))
        usual, memory = None, list[float]()
        try:
            async with trio.open_nursery() as nursery:
                await site.start(nursery)
                connections = Connections(site)
                if process == "old":
                    await connections.keep(CROWD // 2)
                if process != "one":
                    await site.start_process()
                usual = UsualClients(known.front, site.port, beside) if beside else None
                nursery.start_soon(_watch_memory, site, memory)
                await trio.sleep(1.0)
                found = await known.run(connections, seconds)
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()
            ended = [n for n, one in enumerate(site.processes) if one.child.poll() is not None]
            peaks = [one.memory_mb("VmHWM") for one in site.processes]
        finally:
            seen = usual.stop() if usual is not None else None
            site.end()
        log = "".join(file.read_text() for file in Path(folder).glob("*.log"))
        faults = sum(" ERROR " in line for line in log.splitlines())
    says = (
        f"({known.picture}) {known.front} {name}, process {process}, beside {beside}: {found or 'nothing of its own'}"
    )
    says += f"; memory at its peak {' and '.join(f'{peak:.0f}' for peak in peaks)} MB of {MEMORY_MB}"
    says += f" (each second {' '.join(f'{step:.0f}' for step in memory)})"
    says += f"; usual clients: {seen.text()}" if seen is not None else ""
    says += f"; hostile requests written {connections.sent}" if connections.sent else ""
    return says + (f"; PROCESS ENDED: {ended}" if ended else "") + (f"; {faults} errors in the log" if faults else "")


async def _watch_memory(site: Site, memory: list[float]) -> None:
    while True:
        memory.append(sum(process.memory_mb("VmRSS") for process in site.processes))
        await trio.sleep(MEMORY_STEP)


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--play", choices=sorted(BEHAVIOURS), action="append", help="only these")
    parser.add_argument("--process", choices=["one", "old", "new"], default="one", help="of an upgrade")
    parser.add_argument("--beside", type=int, default=8, help="so many usual clients")
    parser.add_argument("--seconds", type=float, default=6.0, help="for which a behaviour goes on")
    given = parser.parse_args()
    for name in given.play or BEHAVIOURS:
        if given.process == "one" or BEHAVIOURS[name].front == "http":
            print(trio.run(play, name, given.process, given.beside, given.seconds), flush=True)


if __name__ == "__main__":
    main()
