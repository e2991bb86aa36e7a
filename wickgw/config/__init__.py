"""Configuration: from the platform (`relay`) and from the operator's INI file (`ini`, `schema`)."""
