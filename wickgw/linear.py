"""Solves a linear system in steps of bounded duration.

The method is Gaussian elimination in column blocks with partial pivoting, followed by back substitution
(Golub and Van Loan, Matrix Computations, 3.2.11 and 3.4). One call eliminates one block, so that the caller
can do other work in between. The module works in place on the system that it is given.
"""

import numpy as np
from numpy.typing import NDArray

MULTIPLICATIONS_PER_STEP = 4e6  # these take one or two milliseconds on one core
MAX_BLOCK_COLUMNS = 32
ROWS_PER_BLOCK = 64  # rows that are updated together, so that they stay in the processor's cache


class BlockElimination:
    """Solves `matrix @ x = right_side`, and overwrites both arrays.

    Call `step` until it returns the solution.
    """

    def __init__(self, matrix: NDArray[np.float64], right_side: NDArray[np.float64]) -> None:
        self.matrix, self.right_side, self.next_column = matrix, right_side, 0

    def step(self) -> NDArray[np.float64] | None:
        """Do the next step.

        Returns None until the solution is complete, and then the solution; a singular system gives NaN.
        """
        n = len(self.right_side)
        if self.next_column < n:
            left = n - self.next_column
            block = int(max(4, min(MAX_BLOCK_COLUMNS, MULTIPLICATIONS_PER_STEP / (left * left))))
            self._eliminate(self.next_column, min(n, self.next_column + block))
            return None
        return self._substitute()

    def _eliminate(self, start: int, end: int) -> None:
        """Eliminate the columns from `start` up to `end`, and update the columns to their right."""
        a, b = self.matrix, self.right_side
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
            for row in range(end, len(b), ROWS_PER_BLOCK):
                a[row : row + ROWS_PER_BLOCK, end:] -= (
                    a[row : row + ROWS_PER_BLOCK, start:end] @ a[start:end, end:]
                )
        self.next_column = end

    def _substitute(self) -> NDArray[np.float64]:
        """Solve the upper triangular system from its last row to its first."""
        a, x = self.matrix, self.right_side
        with np.errstate(divide="ignore", invalid="ignore", over="ignore"):
            for end in range(len(x), 0, -ROWS_PER_BLOCK):
                start = max(0, end - ROWS_PER_BLOCK)
                for k in range(end - 1, start - 1, -1):
                    x[k] = (x[k] - a[k, k + 1 : end] @ x[k + 1 : end]) / a[k, k]
                x[:start] -= a[:start, start:end] @ x[start:end]
        return x
