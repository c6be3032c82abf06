"""A seeded soak of real dispatcher processes over loopback: stand-in servers, discovery, clients, faults and checks.

`world.py` is the environment of the processes, `plan.py` draws the faults of a seed, `checks.py` judges the record.
"""
