"""Deterministic subsetting: which workers of a large fleet one dispatcher sees at all.

A core between the list of workers and the decision module. Nothing here does I/O, reads a clock or draws a
random number. `sizing` derives the size of a subset from the settings, `ranking` assigns workers to
dispatchers by rendezvous hashing, `subset` applies both to the list and its changes.
"""
