"""Clients that misbehave, against real dispatchers over loopback, alone and beside usual clients.

Each play names one behaviour, one front and one process of an upgrade; it says what was seen, and the peak memory.
"""
