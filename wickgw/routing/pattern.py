"""Path patterns that match in time proportional to the path, whatever a client sends.

Python's own engine tries the ways to match one after the other, and a short pattern can have more of them
than any request may wait for. RE2 follows all of them at once. Its syntax is a subset of Python's but for the
few spellings that `_DIALECT_DIFFERENCES` names, which are refused.
"""

import re
from typing import Protocol

# Memory of one pattern, with the states that RE2 caches for the paths that it has read. A pattern gets more
# than the least only if it needs that by itself, since paths fill whatever there is.
MIN_MEMORY_BYTES, MAX_MEMORY_BYTES = 1 << 16, 1 << 20
_DIALECT_DIFFERENCES = (
    (re.compile(r"\{,"), "{,n} is written {0,n}"),
    (re.compile(r"\[:\^?[a-z]+:\]"), "a class such as [:digit:] is written [0-9]"),
)
NOT_ALLOWED = "look-around, back-references, atomic groups and possessive repeats are not allowed"


class Pattern(Protocol):
    """A compiled pattern."""

    def fullmatch(self, text: str) -> object | None:
        """Return a match if the whole text matches, otherwise None."""


def compile_pattern(text: str) -> Pattern:
    """Compile a pattern in the syntax that Python and RE2 read alike. Raises ValueError."""
    import re2  # loaded only where there are patterns

    try:
        re.compile(text)
    except re.error as error:
        raise ValueError(str(error)) from error
    for difference, advice in _DIALECT_DIFFERENCES:
        if difference.search(text):
            raise ValueError(advice)
    options = re2.Options()
    options.max_mem = MIN_MEMORY_BYTES
    options.never_capture = True
    options.log_errors = False
    while True:
        try:
            compiled: Pattern = re2.compile(text, options)
        except re2.error as error:
            if options.max_mem < MAX_MEMORY_BYTES:
                options.max_mem *= 2
                continue
            reason = error.args[0].decode("utf-8", "replace") if error.args else "too large"
            raise ValueError(f"{reason}; {NOT_ALLOWED}") from error
        return compiled
