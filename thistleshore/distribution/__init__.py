"""Sans-I/O protocol that spreads versions of the agreed configuration; it uses no socket, disk or clock."""
