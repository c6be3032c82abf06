"""Bodies of a configuration as operators write them, and the small changes that are made to them.

A body has members with their shares, match rules and hosts, as TOML text.  A change edits one or two of its entries.
"""

from __future__ import annotations

import random

MEMBERS = 120
RULES = 50
HOSTS = 200
EDITS_MOST = 2  # entries in one change
HOSTS_A_NETWORK = 250


class Body:
    """A body whose entries can be edited; `text` renders it."""

    def __init__(self, seed: int, members: int = MEMBERS, rules: int = RULES, hosts: int = HOSTS) -> None:
        self._random = random.Random(seed)
        self._members = [self._member(number) for number in range(members)]
        self._rules = [self._rule(number) for number in range(rules)]
        self._hosts = [self._host(number) for number in range(hosts)]
        self._revision = 0

    def text(self) -> bytes:
        """The whole body."""
        return "".join([f"# revision {self._revision}\n", *self._rules, *self._members, *self._hosts]).encode()

    def change(self) -> bytes:
        """Edit one or two entries; the body after it."""
        self._revision += 1
        for _ in range(self._random.randint(1, EDITS_MOST)):
            entries, written = self._random.choice(
                [(self._members, self._member), (self._rules, self._rule), (self._hosts, self._host)]
            )
            number = self._random.randrange(len(entries))
            entries[number] = written(number)
        return self.text()

    def _member(self, number: int) -> str:
        share = self._random.uniform(0.001, 0.008)
        ceiling = self._random.uniform(0.3, 0.9)
        return f'[[member]]\nname = "member-{number:03}"\nshare = {share:.6f}\nceiling = {ceiling:.2f}\n\n'

    def _rule(self, number: int) -> str:
        prefix = f"/partner-{self._random.randrange(1000):03}/"
        return (
            f'[[match]]\nname = "partner {number:02}"\n'
            f"when = 'request.path.startsWith(\"{prefix}\")'\n"
            f"contract = '\"{self._random.choice(('search', 'tickets'))}\"'\n"
            f"member = '\"member-{self._random.randrange(MEMBERS):03}\"'\n\n"
        )

    def _host(self, number: int) -> str:
        network, place = divmod(number, HOSTS_A_NETWORK)
        port = self._random.randrange(9000, 9100)
        return (
            f'[[host]]\nname = "worker-{number:03}"\nservice = "ticketing"\n'
            f'bay = {number % 15 + 1}\naddress = "10.1.{network}.{place + 1}:{port}"\n\n'
        )
