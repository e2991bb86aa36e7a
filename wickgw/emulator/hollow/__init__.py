"""Hollow fleets: the shipped cores of many dispatchers in one process, on virtual time, from one seed.

What is hollow is the sockets and the workers. Decisions, slow start and subsetting are the modules that
`serve` runs; workers, their slots, cold starts and falls, discovery, clients and faults are models.
"""
