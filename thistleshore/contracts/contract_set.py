"""Contracts between consumer teams and services, and their translation to the decision module's settings.

Nothing is enforced here: rates and attempts become fields of `Settings`, and the module enforces them.
"""

from __future__ import annotations

from dataclasses import dataclass

from oxbowarch.interface import AttemptBudget, Effect, Group, JobClass, Reports, Settings


@dataclass(frozen=True, slots=True)
class Contract:
    """What a consumer team may ask of a service.  Times in seconds."""

    team: str
    service: str
    job_class: str
    effect: Effect
    deadline: float  # how long the team waits for the final answer
    rate: float  # requests per second within the contract
    attempts: int  # maximum of upstream requests for one stream
    group: Group = Group.CELL  # for keyed: the group whose members drop each other's repeats
    window: float = 0.0  # for keyed: how long repeats are dropped
    aim: float = 1.0
    stretch: float = 0.0
    worth: float = 1.0
    tube: str = ""  # the tube in which beanstalkd clients put its jobs
    path: str = ""  # the path prefix that HTTP clients use
    name: str = ""  # its name in rules; "": its class


@dataclass(frozen=True, slots=True)
class Budget:
    """Retry budget of all contracts together: in any `span` seconds `free` retries, plus `share` of the streams."""

    free: float
    share: float
    span: float


@dataclass(frozen=True, slots=True)
class ContractSet:
    """All contracts of one dispatcher; a contract's index is the number of its class and of its tenant."""

    contracts: tuple[Contract, ...]
    services: tuple[str, ...]
    budget: Budget | None = None
    balancers: int = 1
    max_retry_after: float = 2.0
    tells_start: bool = False
    warm_up: float = 0.0
    cold_from: float = 1.0

    def settings(self) -> Settings:
        """Return the settings of the decision module."""
        return Settings(
            balancers=self.balancers,
            zone=0,
            classes=tuple(self._job_class(contract) for contract in self.contracts),
            limits=tuple(contract.rate for contract in self.contracts),
            reports=Reports.WITH_ANSWERS,
            can_cancel=True,
            max_attempts=max(contract.attempts for contract in self.contracts),
            max_retry_after=self.max_retry_after,
            tells_start=self.tells_start,
            cold_from=self.cold_from,
            warm_up=self.warm_up,
            budget=AttemptBudget(self.budget.free, self.budget.share, self.budget.span) if self.budget else None,
        )

    def _job_class(self, contract: Contract) -> JobClass:
        return JobClass(
            effect=contract.effect,
            group=contract.group,
            repeat_window=contract.window,
            aim=contract.aim,
            stretch=contract.stretch,
            give_up=contract.deadline,
            worth=contract.worth,
            kinds=(self.services.index(contract.service),),  # the module treats a service's hosts as a kind of machine
            max_attempts=contract.attempts,
        )
