"""Stand-ins of the users' platform: store, engines, plain servers, callers.

They follow the platform's pages and run in one process, with every fault a
switch, so that tests need no bench.
"""
