"""How versions of the agreed configuration spread: the protocol, with no socket, no disk and no clock."""
