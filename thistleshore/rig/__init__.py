"""Several real processes of the program, links between them that break, ground truth, and checks that judge it."""
