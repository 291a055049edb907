"""HTTP/1.1 on both sides of the gateway, over the parser of httptools."""
