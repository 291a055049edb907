"""Load balancing: statistics of each upstream, and the choice between them."""
