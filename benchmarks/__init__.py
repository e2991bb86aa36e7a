"""Benchmarks. Each module is a command that writes its results beside itself."""
