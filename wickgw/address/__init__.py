"""Moving service addresses: when a dispatcher fails, another one serves its address, and never two at once.

The core does no I/O, reads no clock and draws no random numbers: `messages`, `events`, `membership`, `votes`,
`lease`, `plan`, `replay_window` and `coordinator`. `wire` and `keys` authenticate datagrams, `store` persists
votes, `gate` checks the lease before every answer, and `announce` and `driver` do the I/O. `simulation` runs
the core in virtual time. The design is explained in docs/design/moving-address.md.
"""
