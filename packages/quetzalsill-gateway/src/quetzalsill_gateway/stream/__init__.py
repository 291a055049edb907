"""Event streams: parsing, relaying, live migration and resumption."""
