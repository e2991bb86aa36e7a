"""The version, alone, so that whoever asks imports nothing else."""

VERSION = "0.2.0"
