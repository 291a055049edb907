"""Links from a router to its sidecars, and the attempts sent on them."""
