"""Configuration agreed on by the fleet: its versions in the register, and how an instance puts them in force.

`thistleshore.distribution` is the sans-I/O protocol that spreads the versions.
"""
