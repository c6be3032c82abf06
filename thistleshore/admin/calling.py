"""One call of an admin interface, for whoever asks it from within trio: a keeper, a rig."""

from __future__ import annotations

import trio

from thistleshore.admin import codec


async def call(address: tuple[str, int], line: str, within: float) -> str:
    """The answer to one line; "" where no whole one came within so many seconds.  Cancelled, it closes its socket."""
    data = b""
    with trio.move_on_after(within) as limit:
        try:
            async with await trio.open_tcp_stream(*address) as stream:
                await stream.send_all(line.encode()[: codec.FLEET_MOST - 1] + b"\n")
                async for part in stream:
                    data += part
        except (OSError, trio.BrokenResourceError):
            return ""
    return "" if limit.cancelled_caught else data.decode(errors="replace")
