"""Routes and pools, and checks of them that need no traffic. No I/O.

`normal` gives requests one spelling. `match` holds the predicates on requests. `table` selects the route
and the pool; the same table serves traffic and answers the checks. `automata` and `space` partition
all requests into equivalence classes that no route and no expectation distinguishes. `fleet` does the same
for the states of workers. `check` and `lint` evaluate the table for every equivalence class. The reasons for
this design are in docs/design/routing.md.
"""
