"""Streams, upstream requests and final answers; nothing here knows a wire."""
