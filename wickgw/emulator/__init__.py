"""Stand-ins for what surrounds dispatchers, for tests and measurements: all on loopback, all in this process
but for the dispatchers themselves. Never imported by a serving program."""
