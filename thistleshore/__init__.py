"""thistleshore: a job dispatcher on sockets, around the decisions of oxbowarch."""
