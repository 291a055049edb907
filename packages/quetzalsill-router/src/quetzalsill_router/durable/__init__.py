"""What must outlast a router: accepted requests, claims and answers.

A router keeps one append-only log in the object store. Its segments are
numbered without gaps and made with create-only writes, one at a time, so
whoever creates the next number ends the log for everybody else. A router
that takes over a dead one does just that: it creates a seal. The former
owner, if it was only paused, finds the seal where its next segment should
stand and can make nothing durable any more.

The way of a durable request or of one with an idempotency key:

    request = await state.journal.accept(entry)
    claim = await state.claims.claim(entry)        # with a key only
    if claim.request != request:                   # a repeat: ask for that
        stored = await state.answers.wait(entry.account, claim.request, s)
    await state.journal.record_dispatch(entry, run)  # before each Dispatch
    await state.journal.settle(entry, answer)      # exactly once
"""
