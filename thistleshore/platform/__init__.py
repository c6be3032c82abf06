"""The platform's protocol: HTTP/1.1 on h11, before and behind the core."""
