"""Model checkers of the control plane: explicit states of the real machines, findings as JSON."""
