"""Streams, upstream requests and final answers, independent of any wire protocol."""
