"""What a dispatcher is told: by the platform (`relay`) and by its operator (`ini`, `schema`)."""
