"""Sets of networks: netaddr reads and merges them, a search by halves answers.

An address is an integer as `thistleshore.addresses` has it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

from netaddr import AddrFormatError, IPNetwork, IPSet

from thistleshore.addresses import MAPPED, ip_number

ADDRESS_MOST = 45  # characters of an address as text


class NetworkError(ValueError):
    """A text that is no network."""


@dataclass(frozen=True, slots=True)
class AddressSet:
    """Disjoint ranges, in order; `starts[n]..ends[n]` are in it.  A look-up halves them: 17 steps for 100,000."""

    name: str
    starts: tuple[int, ...]
    ends: tuple[int, ...]

    def has(self, number: int) -> bool:
        at = bisect_right(self.starts, number) - 1
        return at >= 0 and number <= self.ends[at]

    @property
    def units(self) -> int:
        """What one look-up costs: one unit, and one for each halving."""
        return 1 + len(self.starts).bit_length()


def address_set(name: str, networks: Iterable[str]) -> AddressSet:
    """The set of networks such as `10.0.0.0/8`, `2001:db8::/32` or `192.0.2.7`; NetworkError names a wrong one."""
    found = []
    for text in networks:
        try:
            if ip_number(text.partition("/")[0]) is None or text != text.strip():
                raise AddrFormatError  # netaddr takes more: `10/8`, integers, host bits that are set
            network = IPNetwork(text)
            if network.ip != network.network:
                raise NetworkError(f"{text!r} has bits set behind its prefix: write {network.cidr}")
            found.append(network)
        except (AddrFormatError, ValueError) as problem:
            if isinstance(problem, NetworkError):
                raise
            raise NetworkError(f"{text!r} is no network of the form 10.0.0.0/8") from None
    shift = {4: MAPPED, 6: 0}
    ranges = sorted((shift[r.version] | r.first, shift[r.version] | r.last) for r in IPSet(found).iter_ipranges())
    starts: list[int] = []
    ends: list[int] = []
    for first, last in ranges:
        if ends and first <= ends[-1] + 1:  # an IPv4 range and its mapped twin
            ends[-1] = max(ends[-1], last)
        else:
            starts.append(first)
            ends.append(last)
    return AddressSet(name, tuple(starts), tuple(ends))
