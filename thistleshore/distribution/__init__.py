"""Configuration that the fleet agrees on once, and that each instance puts in force whole."""
