"""Hot restart: a second process takes over from the one that serves."""
