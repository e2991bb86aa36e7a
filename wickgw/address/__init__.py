"""Moving service addresses: a dead dispatcher's address is served again by another, and never by two.

`messages`, `events`, `membership`, `votes`, `plan` and `group` are the core: no I/O, clock or randomness.
`wire` and `keys` seal datagrams, `gate` is the look before every answer, `announce` and `driver` touch the
system, `rehearsal` plays the core in virtual time. The reasons are in docs/design/moving-address.md.
"""
