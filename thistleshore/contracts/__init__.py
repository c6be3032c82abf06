"""Agreements with members: shares held under a surge, the order of service, retry budgets, over several instances."""

from thistleshore.contracts.ledger import Ledger
from thistleshore.contracts.model import Agreements, ContractTerms, Leaf, MemberTerms, Retries, Stamp

__all__ = ["Agreements", "ContractTerms", "Leaf", "Ledger", "MemberTerms", "Retries", "Stamp"]
