"""HTTP/1.1 client and server of the gateway, based on httptools."""
