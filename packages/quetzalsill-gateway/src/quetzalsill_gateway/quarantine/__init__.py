"""Recognises requests that crash the upstreams that run them.

Such a request (a query of death) is repeated by its caller under new ids and at
any gateway, and would crash one upstream after the other. Gateways therefore
share what they saw of each crash, attribute the crashes to requests
(`evidence`), and refuse a request that was found to cause them (`table`).
"""
