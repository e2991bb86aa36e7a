"""Routes, pools, and what may be known about them without traffic. No I/O at all.

`normal` spells requests in one way, `match` says what a route looks at, `table` is the one object that serves
traffic and answers the checker; `automata` and `space` cut all requests into cells that no route or
expectation tells apart, `fleet` does so with the states of workers; `check`, `lint` and `difference` ask the
table about every cell. The reasons are in docs/design/routing.md.
"""
