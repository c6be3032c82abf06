"""The admin interface: one line a connection, for operators alone."""
