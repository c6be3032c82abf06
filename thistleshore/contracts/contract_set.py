"""Contracts between consumer teams and services, and their budgets, as the module's settings.

Nothing is limited here: rates and attempts become figures of `Settings`, and the module keeps to them.
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
    deadline: float  # the team waits so long for the final answer
    rate: float  # requests a second that are within the contract
    attempts: int  # upstream requests of one stream at most
    group: Group = Group.CELL  # for keyed: whose members drop each other's repeats
    window: float = 0.0  # for keyed: how long they do
    aim: float = 1.0
    stretch: float = 0.0
    worth: float = 1.0
    tube: str = ""  # where beanstalkd clients put its jobs
    path: str = ""  # the prefix by which HTTP clients name it
    name: str = ""  # what rules call it; "": by its class


@dataclass(frozen=True, slots=True)
class Budget:
    """Further upstream requests of all contracts together: in any `span` so many, plus a share of the streams."""

    free: float
    share: float
    span: float


@dataclass(frozen=True, slots=True)
class ContractSet:
    """All contracts of one dispatcher; a contract's place in it numbers its class and its tenant."""

    contracts: tuple[Contract, ...]
    services: tuple[str, ...]
    budget: Budget | None = None
    balancers: int = 1
    max_retry_after: float = 2.0
    tells_start: bool = False
    warm_up: float = 0.0
    cold_from: float = 1.0

    def settings(self) -> Settings:
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
            kinds=(self.services.index(contract.service),),  # a service's hosts are the module's machine kind
            max_attempts=contract.attempts,
        )
