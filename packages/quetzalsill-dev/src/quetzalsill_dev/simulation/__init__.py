"""Simulates the decision code of many gateways in one process.

It uses virtual time and no sockets, so that a seed always gives the same run. A
fleet can be as large as a deployment is specified; one minute of it takes
seconds.
"""
