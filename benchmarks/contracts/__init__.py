"""Quotas under a surge of one member: in virtual time and over real sockets."""
