"""Durable state of a router: accepted requests, claims and answers.

Each router writes one append-only log to the object store. Segments are
numbered without gaps and created one at a time with create-only writes, so
creating the next number excludes every other writer. A router that takes over
a dead one creates a seal at that number. If the former owner was only paused,
its next write fails because of the seal, and it can no longer make anything
durable.

Lifecycle of a request that is durable or has an idempotency key:

    request = await state.journal.accept(entry)
    claim = await state.claims.claim(entry)          # only with a key
    if claim.request != request:                     # duplicate: await original
        stored = await state.answers.wait(entry.account, claim.request, s)
    await state.journal.record_dispatch(entry, run)  # before each Dispatch
    await state.journal.settle(entry, answer)        # exactly once
"""
