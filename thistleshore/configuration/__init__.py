"""Configuration that the fleet agrees on: what the register holds of it, and how an instance puts it in force.

`thistleshore.distribution` is the protocol by which versions spread, with no socket and no disk.
"""
