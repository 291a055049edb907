"""Which upstream takes a request, and what is known of each."""
