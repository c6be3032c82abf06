"""The view of the fleet: in virtual time, over a breaking network, with real processes, and a heartbeat baseline."""
