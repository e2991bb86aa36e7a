"""The version of the package, in a module without imports."""

VERSION = "0.2.0"
