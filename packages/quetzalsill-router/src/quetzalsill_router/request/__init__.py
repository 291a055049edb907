"""One request, from acceptance to its terminal event."""
