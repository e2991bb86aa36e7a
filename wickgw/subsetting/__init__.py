"""Deterministic subsetting: selects the part of a large fleet of workers that one dispatcher uses.

The package sits between the list of workers and the decision module. It does no I/O, reads no clock and draws
no random numbers. `sizing` derives the size of a subset from the settings. `ranking` assigns workers to
dispatchers by rendezvous hashing. `subset` applies both to the list of workers and its changes.
"""
