"""Releases by real processes under load and faults, and the release gate over drawn waves."""
