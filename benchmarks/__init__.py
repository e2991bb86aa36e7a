"""Measurements: each a command that writes its figures beside it."""
