"""What a dispatcher is told: the platform's configuration (`relay`) and the operator's own file (`ini`, `schema`)."""
