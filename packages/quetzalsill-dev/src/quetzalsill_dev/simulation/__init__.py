"""Many gateways' deciding code in one process, on virtual time.

No sockets and no wall clock: the same seed gives the same run. Gateways, net
and store are as large as a deployment's sheet says, and a minute of theirs
takes seconds.
"""
