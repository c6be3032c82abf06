"""Coordination of outages and releases: a majority of voters grants places to be out; places never expire."""
