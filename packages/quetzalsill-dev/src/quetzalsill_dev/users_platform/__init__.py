"""Stand-ins of the users' platform: store, engines, HTTP servers, callers.

They implement the platform's documented interfaces within one process. Each
fault can be switched on, so that tests need no deployment of the platform.
"""
