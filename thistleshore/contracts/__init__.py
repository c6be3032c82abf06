"""Agreements with members: guaranteed shares, the order of service and retry budgets, over several instances."""

from thistleshore.contracts.ledger import Ledger
from thistleshore.contracts.model import Agreements, ContractTerms, MemberTerms, Retries, ShareKey, Stamp

__all__ = ["Agreements", "ContractTerms", "Ledger", "MemberTerms", "Retries", "ShareKey", "Stamp"]
