"""Emulated workers, discovery service, clients and networks for tests and benchmarks.

Sockets are real and on loopback. Everything runs in the calling process except the dispatchers, which are
real `wickgw serve` processes. A serving program must not import this package.
"""
