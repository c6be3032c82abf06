"""What the platform's dispatcher costs: CPU and memory a request, and by the size of the fleet."""
