"""The matrices from which the drain rates of workers are learned, and the linear system that they form.

For each worker, x is the number of jobs in flight at a tick, x_prev that at the tick before, and u the number
of jobs sent in between: x - u of the x_prev jobs are still there. The sums over all ticks are

    sigma     = sum of weight * x_prev x_prev^T
    sigma_bar = sum of weight * (x - u) x_prev^T

With S = sigma + prior I and R = sigma_bar^T + prior retention I, the cost q of each worker is

    q = (S - gamma R)^-1 S 1

(Bencherki and Rantzer, equations 11 to 15, with both sides multiplied by S). A worker that retains a constant
fraction a of its jobs per tick has q = 1 / (1 - gamma a). `retention` is the assumed fraction for a worker
without data; `prior` is the weight of that assumption against the data.

The module does the bookkeeping and the numerics only; the balancer decides when to record and when to solve.

- Rows are allocated and released one at a time. A free row is all zero.
- Old data decays. The sums stay as they are, and new data is added with a weight that grows instead.
- Ticks are recorded as vectors, and many of them are added to the matrices at once when q is solved for. The
  matrices of a large fleet are then read from memory once per second instead of once per tick.
- sigma_bar is stored transposed, because the formula uses its transpose.
"""

from collections.abc import Sequence

import numpy as np
from numpy.typing import NDArray

from wickgw.linear import ROWS_PER_BLOCK, BlockElimination

FloatArray = NDArray[np.float64]
MAX_ITEMS_PER_CALL = 100  # rows that are solved for, or attempts that are checked, in one call
MAX_PENDING_TICKS = 64
BLOCKS_PER_STEP = 2  # blocks of rows that one step of an incremental solve updates and copies


class Matrices:
    """The weighted sums sigma and sigma_bar, by row."""

    def __init__(self, gamma: float, prior: float) -> None:
        """`gamma` is the discount per tick, `prior` the weight of the prior in jobs squared."""
        self.gamma, self.pool_prior = gamma, prior
        self.prior = prior  # weight per worker; the caller may change it between solves
        self.sigma = self.sigma_bar_t = np.zeros((0, 0))
        self.weight = 1.0  # of new data
        # Weighted sums of x_prev squared, and of (x - u) x_prev, over all workers.
        self.pooled_squares = self.pooled_products = 0.0
        self.free_rows: list[int] = []
        self.copying = False  # an incremental solve copies the matrices: they must not be rescaled
        self.spare_buffer = np.zeros((0, 0))  # memory of the last incremental solve, reused by the next
        self.pending_ticks = 0  # recorded ticks that are not in the matrices yet
        self.pending_weights = np.zeros(MAX_PENDING_TICKS)
        # x_prev and x - u of the pending ticks: the first index is the tick, the second the worker's row.
        self.pending_previous = self.pending_retained = np.zeros((MAX_PENDING_TICKS, 0))

    @property
    def size(self) -> int:
        """Number of rows, allocated or free."""
        return len(self.sigma)

    def add_row(self) -> int:
        """Allocate a row of zeros.

        The matrices double in size when no row is free, because hundreds of workers may join at once.
        """
        if not self.free_rows:
            size, more = self.size, max(8, self.size)
            grown = np.zeros((2, size + more, size + more))
            grown[:, :size, :size] = self.sigma, self.sigma_bar_t
            self.sigma, self.sigma_bar_t = grown
            zeros = np.zeros((MAX_PENDING_TICKS, more))
            self.pending_previous, self.pending_retained = (
                np.hstack([self.pending_previous, zeros]),
                np.hstack([self.pending_retained, zeros]),
            )
            self.free_rows = list(range(size + more - 1, size - 1, -1))
        return self.free_rows.pop()

    def remove_row(self, row: int) -> None:
        """Clear and release a row."""
        for matrix in (self.sigma, self.sigma_bar_t):
            matrix[row], matrix[:, row] = 0.0, 0.0
        self.pending_previous[:, row] = self.pending_retained[:, row] = 0.0
        self.free_rows.append(row)

    def record(
        self, rows: list[int], previous: Sequence[float], used_rows: list[int], retained: Sequence[float]
    ) -> None:
        """Record a tick: `previous` is x_prev in `rows`, `retained` is x - u in `used_rows`.

        The tick is lost if the pending ticks are full while an incremental solve is adding them.
        """
        if self.pending_ticks == MAX_PENDING_TICKS:
            if self.copying:
                return
            self.apply_pending()
        retained_by_row = dict(zip(used_rows, retained, strict=True))
        self.pooled_squares += self.weight * sum(x * x for x in previous)
        self.pooled_products += self.weight * sum(
            x * retained_by_row.get(row, 0.0) for row, x in zip(rows, previous, strict=True)
        )
        self.pending_weights[self.pending_ticks] = self.weight
        self.pending_previous[self.pending_ticks, rows] = previous
        self.pending_retained[self.pending_ticks, used_rows] = retained
        self.pending_ticks += 1

    def record_tick(self, used: list[tuple[int, int, int]]) -> None:
        """Record a tick, given row, x_prev and x - u of each row in use."""
        if nonzero := [(row, float(previous)) for row, previous, _ in used if previous]:
            rows, counts = zip(*nonzero, strict=True)
            self.record(
                list(rows), counts, [row for row, _, _ in used], [float(retained) for _, _, retained in used]
            )

    def apply_pending(self) -> None:
        """Add all pending ticks to the matrices."""
        self.apply_pending_to_rows(slice(0, self.size), self.pending_ticks, self.size)
        self.discard_pending(self.pending_ticks)

    def apply_pending_to_rows(self, rows: slice, ticks: int, end: int) -> None:
        """Add the first `ticks` pending ticks to `rows`, in the columns before `end`."""
        if not ticks:
            return
        weighted = (self.pending_previous[:ticks, rows] * self.pending_weights[:ticks, None]).T
        self.sigma[rows, :end] += weighted @ self.pending_previous[:ticks, :end]
        self.sigma_bar_t[rows, :end] += weighted @ self.pending_retained[:ticks, :end]

    def discard_pending(self, ticks: int) -> None:
        """Remove the first `ticks` pending ticks, which are in the matrices now."""
        rest = self.pending_ticks - ticks
        for array in (self.pending_weights, self.pending_previous, self.pending_retained):
            array[:rest] = array[ticks : self.pending_ticks].copy()
            array[rest : self.pending_ticks] = 0.0
        self.pending_ticks = rest

    def decay(self, factor: float) -> None:
        """Divide the influence of all data recorded so far by `factor`."""
        self.weight *= factor
        if self.weight > 1e9 and not self.copying:
            for array in (self.sigma, self.sigma_bar_t, self.pending_weights):
                array /= self.weight
            self.pooled_squares, self.pooled_products, self.weight = (
                self.pooled_squares / self.weight,
                self.pooled_products / self.weight,
                1.0,
            )

    def pooled_retention(self, guess: float) -> float:
        """Estimate the fraction of its jobs that a worker retains per tick, from the data of all workers:

            (prior guess + sum of (x - u) x_prev) / (prior + sum of x_prev^2)

        `guess` is the prior estimate. It is based on running times alone; the data includes queueing delays.
        """
        prior = self.pool_prior * self.weight
        return min(1.0, max(0.0, (prior * guess + self.pooled_products) / (prior + self.pooled_squares)))

    def rows_with_data(self) -> list[int]:
        """Return the rows with data. For every other row, q is 1 / (1 - gamma retention)."""
        pending = (self.pending_previous[: self.pending_ticks] != 0.0).any(axis=0)
        rows: list[int] = np.flatnonzero((self.sigma.diagonal() != 0.0) | pending).tolist()
        return rows

    def system(self, rows: list[int], retention: float) -> tuple[FloatArray, FloatArray]:
        """Return matrix and right side of the system whose solution is q in `rows`.

        `rows` must be all rows with data. `retention` is the fraction of its jobs that a worker without data
        retains per tick.
        """
        self.apply_pending()
        selection = np.ix_(np.array(rows), np.array(rows))
        a, b = self.system_rows(self.sigma[selection], self.sigma_bar_t[selection], 0, retention, self.weight)
        if len(rows) < self.size:
            # np.setdiff1d would import a part of numpy, which takes 20 ms in this call.
            others = np.ones(self.size, np.bool_)
            others[rows] = False
            rest = others.nonzero()[0]
            default_q = 1 / (1 - self.gamma * retention)
            b += self.gamma * default_q * self.sigma_bar_t[np.ix_(np.array(rows), rest)].sum(axis=1)
        return a, b

    def start_solve(self, retention: float) -> "DirectSolve | IncrementalSolve":
        """Start to solve for q: in one step for few rows, else in several."""
        rows = self.rows_with_data()
        return (
            DirectSolve(self, rows, retention)
            if len(rows) <= MAX_ITEMS_PER_CALL
            else IncrementalSolve(self, rows, retention)
        )

    def system_rows(
        self, sigma: FloatArray, sigma_bar_t: FloatArray, first: int, retention: float, weight: float
    ) -> tuple[FloatArray, FloatArray]:
        """Return some rows of S - gamma R and of S 1, given the same rows of sigma and sigma_bar^T.

        `first` is the column in which the diagonal of these rows begins.
        """
        prior = self.prior * weight
        a = sigma_bar_t * -self.gamma
        a += sigma
        diagonal = np.arange(len(a))
        a[diagonal, diagonal + first] += prior * (1 - self.gamma * retention)
        return a, sigma.sum(axis=1) + prior


class DirectSolve:
    """Solves for q in one step, for a small fleet."""

    def __init__(self, matrices: Matrices, rows: list[int], retention: float) -> None:
        self.rows, self.row_count = rows, rows[-1] + 1 if rows else 0
        self.default_q = 1 / (1 - matrices.gamma * retention)
        self.matrix, self.right_side = (
            matrices.system(rows, retention) if rows else (np.zeros((0, 0)), np.zeros(0))
        )

    def step(self) -> FloatArray:
        """Return q for the first `row_count` rows; NaN in the rows with data if the system is singular."""
        q = np.full(self.row_count, self.default_q)
        try:
            q[self.rows] = np.linalg.solve(self.matrix, self.right_side)
        except np.linalg.LinAlgError:
            q[self.rows] = np.nan
        return q


class IncrementalSolve:
    """Solves for q in steps of a few milliseconds, for a large fleet.

    The first steps add the pending ticks to the matrices and copy the system, the others solve it. The system
    has the first `row_count` rows, up to the last row with data, as of the start of the solve. What workers
    in later rows retained enters the right side with their q, which is that of a worker without data.
    """

    def __init__(self, matrices: Matrices, rows: list[int], retention: float) -> None:
        self.matrices, self.retention, self.row_count = matrices, retention, rows[-1] + 1
        self.default_q = 1 / (1 - matrices.gamma * retention)
        self.pending_ticks, self.weight, self.next_row = matrices.pending_ticks, matrices.weight, 0
        if len(matrices.spare_buffer) != self.row_count:
            matrices.spare_buffer = np.zeros((self.row_count, self.row_count))
        self.matrix, self.right_side = matrices.spare_buffer, np.zeros(self.row_count)
        matrices.copying = True
        self.solver: BlockElimination | None = None

    def step(self) -> FloatArray | None:
        """Do the next step. Returns None until the end, then q for the first `row_count` rows."""
        if self.solver is not None:
            return self.solver.step()
        matrices = self.matrices
        for _ in range(BLOCKS_PER_STEP):
            rows = slice(self.next_row, min(self.next_row + ROWS_PER_BLOCK, self.row_count))
            matrices.apply_pending_to_rows(rows, self.pending_ticks, matrices.size)
            sigma, sigma_bar_t = (
                matrices.sigma[rows, : self.row_count],
                matrices.sigma_bar_t[rows, : self.row_count],
            )
            self.matrix[rows], self.right_side[rows] = matrices.system_rows(
                sigma, sigma_bar_t, self.next_row, self.retention, self.weight
            )
            retained_later = matrices.sigma_bar_t[rows, self.row_count :].sum(axis=1)
            self.right_side[rows] += matrices.gamma * self.default_q * retained_later
            self.next_row = rows.stop
            if self.next_row == self.row_count:
                matrices.discard_pending(self.pending_ticks)
                matrices.copying = False
                self.solver = BlockElimination(self.matrix, self.right_side)
                break
        return None
