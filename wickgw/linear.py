"""A linear system, solved in pieces of bounded time: elimination in blocks with partial pivoting (Golub and
Van Loan, Matrix Computations, 3.2.11 and 3.4), one block a call.

Numerics only: whoever calls knows what the system means, and when a piece of it may be worked on. It owns the
copy of the system that it is given. It must never take longer for one piece than about WORK says.
"""

import numpy as np
from numpy.typing import NDArray

WORK = 4e6  # multiplications a piece: one or two milliseconds on one core
MOST_BLOCK = 32
PART = 64  # rows worked on at a time, so that they stay in the cache


class Pieces:
    """Solves a x = b; `a` and `b` are worked on in place."""

    def __init__(self, a: NDArray[np.float64], b: NDArray[np.float64]) -> None:
        self.a, self.b, self.at = a, b, 0

    def step(self) -> NDArray[np.float64] | None:
        """Work on the next piece; the solution once it is there, NaN where there is none."""
        n = len(self.b)
        if self.at < n:
            left = n - self.at
            block = int(max(4, min(MOST_BLOCK, WORK / (left * left))))
            self._eliminate(self.at, min(n, self.at + block))
            return None
        return self._substitute()

    def _eliminate(self, start: int, end: int) -> None:
        a, b = self.a, self.b
        with np.errstate(divide="ignore", invalid="ignore", over="ignore"):
            for k in range(start, end):
                pivot = k + int(np.argmax(np.abs(a[k:, k])))
                if pivot != k:
                    a[[k, pivot]] = a[[pivot, k]]
                    b[[k, pivot]] = b[[pivot, k]]
                a[k + 1 :, k] /= a[k, k]
                a[k + 1 :, k + 1 : end] -= np.outer(a[k + 1 :, k], a[k, k + 1 : end])
                b[k + 1 :] -= a[k + 1 :, k] * b[k]
            for k in range(start + 1, end):
                a[k, end:] -= a[k, start:k] @ a[start:k, end:]
            for row in range(end, len(b), PART):
                a[row : row + PART, end:] -= a[row : row + PART, start:end] @ a[start:end, end:]
        self.at = end

    def _substitute(self) -> NDArray[np.float64]:
        a, x = self.a, self.b
        with np.errstate(divide="ignore", invalid="ignore", over="ignore"):
            for end in range(len(x), 0, -PART):
                start = max(0, end - PART)
                for k in range(end - 1, start - 1, -1):
                    x[k] = (x[k] - a[k, k + 1 : end] @ x[k + 1 : end]) / a[k, k]
                x[:start] -= a[:start, start:end] @ x[start:end]
        return x
