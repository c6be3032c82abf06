"""How the components of one dispatcher are put together: one module for each subsystem.

`thistleshore.dispatcher` calls these modules in order.  Those of subsystems that only operators use are imported where
the plan asks for them, and import their subsystem at their top: the platform, which has little memory, gets none of it.
"""
