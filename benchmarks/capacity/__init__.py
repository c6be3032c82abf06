"""What each role costs at the size that the design has to fit; `python -m benchmarks.capacity --help`."""
