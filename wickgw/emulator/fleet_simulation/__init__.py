"""Simulation of whole fleets: many dispatchers in one process, in virtual time, reproducible from one seed.

The balancer, slow start and subsetting are the modules that `serve` runs. Sockets are left out. Workers with
their slots, cold starts and overload failures, discovery, clients and faults are models.
"""
