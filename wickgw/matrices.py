"""The paper's two matrices as sums on arrays, and the linear system that they make.

Bookkeeping and numerics only: what is booked, when q is asked for and what is done with it is the balancer's
to decide. Rows are given out and taken back one by one, and a row of nobody is all zero. Sums are kept scaled
by a weight, which grows as old data fades: new data is added times the weight. Ticks are noted as vectors and
added to the matrices when q is asked for, many at once: that passes the memory of a large fleet's matrices
once a second and not at each tick. The second matrix is kept transposed, as the formula wants it:
q = (S - gamma R)^-1 S 1, with S the first and R the second one transposed (Bencherki and Rantzer, equations
11 to 15, both sides multiplied by S).
"""

from collections.abc import Sequence

import numpy as np
from numpy.typing import NDArray

from wickgw.linear import PART, Pieces

Floats = NDArray[np.float64]
AT_ONCE = 100  # rows that are picked out of the matrices, and solved for in one call
MOST_NOTED = 64  # ticks
PARTS = 2  # parts of the rows that one step of a large solve adds to and copies


class Matrices:
    """The sums over the rows in use."""

    def __init__(self, gamma: float, prior: float) -> None:
        self.gamma, self.pool_prior = gamma, prior
        self.prior = prior  # of each worker; the caller may change it between solves
        self.sigma = self.sigma_bar_t = np.zeros((0, 0))
        self.weight = 1.0
        self.seen = self.stayed = 0.0  # x_prev squared, and x - u times x_prev, of all workers together
        self.left: list[int] = []  # rows of nobody
        self.busy = False  # a large solve copies the system: its scale must not change
        self.spare = np.zeros((0, 0))  # the memory of the last large system, for the next
        self.noted = 0  # ticks that are not in the matrices yet, and what they hold
        self.scale = np.zeros(MOST_NOTED)
        self.before = self.kept = np.zeros((MOST_NOTED, 0))

    @property
    def size(self) -> int:
        """Rows that there are, in use or not."""
        return len(self.sigma)

    def add(self) -> int:
        """A row, all zero. There are twice as many when they run out, so that hundreds may join at once."""
        if not self.left:
            size, more = self.size, max(8, self.size)
            grown = np.zeros((2, size + more, size + more))
            grown[:, :size, :size] = self.sigma, self.sigma_bar_t
            self.sigma, self.sigma_bar_t = grown
            none = np.zeros((MOST_NOTED, more))
            self.before, self.kept = np.hstack([self.before, none]), np.hstack([self.kept, none])
            self.left = list(range(size + more - 1, size - 1, -1))
        return self.left.pop()

    def drop(self, row: int) -> None:
        """Take a row back."""
        for matrix in (self.sigma, self.sigma_bar_t):
            matrix[row], matrix[:, row] = 0.0, 0.0
        self.before[:, row] = self.kept[:, row] = 0.0
        self.left.append(row)

    def book(self, rows: list[int], before: Sequence[float], used: list[int], kept: Sequence[float]) -> None:
        """A tick: the first sum grows by x_prev x_prev^T, the second by (x - u) x_prev^T. `before` is x_prev
        in its rows, `kept` is x - u."""
        if self.noted == MOST_NOTED:
            if self.busy:  # a solve is under way and has begun to add what was noted: this tick is left out
                return
            self.fold()
        stay = dict(zip(used, kept, strict=True))
        self.seen += self.weight * sum(x * x for x in before)
        self.stayed += self.weight * sum(x * stay.get(row, 0.0) for row, x in zip(rows, before, strict=True))
        self.scale[self.noted] = self.weight
        self.before[self.noted, rows] = before
        self.kept[self.noted, used] = kept
        self.noted += 1

    def tick(self, used: list[tuple[int, int, int]]) -> None:
        """Book a tick: for each row in use its x_prev and its x - u."""
        if past := [(row, float(before)) for row, before, _ in used if before]:
            rows, counts = zip(*past, strict=True)
            self.book(list(rows), counts, [row for row, _, _ in used], [float(kept) for _, _, kept in used])

    def fold(self) -> None:
        """Add what was noted to the matrices."""
        self.fold_rows(slice(0, self.size), self.noted, self.size)
        self.forget(self.noted)

    def fold_rows(self, rows: slice, noted: int, end: int) -> None:
        """The first `noted` ticks, in these rows, up to a column."""
        if not noted:
            return
        left = (self.before[:noted, rows] * self.scale[:noted, None]).T
        self.sigma[rows, :end] += left @ self.before[:noted, :end]
        self.sigma_bar_t[rows, :end] += left @ self.kept[:noted, :end]

    def forget(self, noted: int) -> None:
        """The first so many ticks are in the matrices now."""
        rest = self.noted - noted
        for array in (self.scale, self.before, self.kept):
            array[:rest] = array[noted : self.noted].copy()
            array[rest : self.noted] = 0.0
        self.noted = rest

    def fade(self, factor: float) -> None:
        """All that was booked before counts so many times less."""
        self.weight *= factor
        if self.weight > 1e9 and not self.busy:
            for array in (self.sigma, self.sigma_bar_t, self.scale):
                array /= self.weight
            self.seen, self.stayed, self.weight = self.seen / self.weight, self.stayed / self.weight, 1.0

    def pooled(self, guess: float) -> float:
        """What workers keep of their jobs in a tick, over all that was seen: the waits at them are in it,
        which a guess by running times alone leaves out."""
        prior = self.pool_prior * self.weight
        return min(1.0, max(0.0, (prior * guess + self.stayed) / (prior + self.seen)))

    def data(self) -> list[int]:
        """The rows with data. Any other stands for itself: its q is 1 / (1 - gamma kept)."""
        noted = (self.before[: self.noted] != 0.0).any(axis=0)
        rows: list[int] = np.flatnonzero((self.sigma.diagonal() != 0.0) | noted).tolist()
        return rows

    def system(self, known: list[int], kept: float) -> tuple[Floats, Floats]:
        """The system whose solution is q in these rows, all those with data; `kept` is what a worker without
        data keeps of its jobs in a tick."""
        self.fold()
        pick = np.ix_(np.array(known), np.array(known))
        a, b = self.rows(self.sigma[pick], self.sigma_bar_t[pick], 0, kept, self.weight)
        if len(known) < self.size:
            others = np.ones(
                self.size, np.bool_
            )  # np.setdiff1d would load a part of numpy: 20 ms in this call
            others[known] = False
            rest = others.nonzero()[0]
            alone = 1 / (1 - self.gamma * kept)
            b += self.gamma * alone * self.sigma_bar_t[np.ix_(np.array(known), rest)].sum(axis=1)
        return a, b

    def begin(self, kept: float) -> "Once | Solve":
        """Begin to solve for q."""
        known = self.data()
        return Once(self, known, kept) if len(known) <= AT_ONCE else Solve(self, known, kept)

    def rows(
        self, sigma: Floats, bar_t: Floats, first: int, kept: float, weight: float
    ) -> tuple[Floats, Floats]:
        """These rows of the system and of its right side; `first` is where the diagonal begins."""
        prior = self.prior * weight
        a = bar_t * -self.gamma
        a += sigma
        on = np.arange(len(a))
        a[on, on + first] += prior * (1 - self.gamma * kept)
        return a, sigma.sum(axis=1) + prior


class Once:
    """q of a small fleet, in one step."""

    def __init__(self, matrices: Matrices, known: list[int], kept: float) -> None:
        self.known, self.end = known, known[-1] + 1 if known else 0
        self.alone = 1 / (1 - matrices.gamma * kept)
        self.a, self.b = matrices.system(known, kept) if known else (np.zeros((0, 0)), np.zeros(0))

    def step(self) -> Floats:
        """q for the rows up to `end`; NaN where there is none."""
        q = np.full(self.end, self.alone)
        try:
            q[self.known] = np.linalg.solve(self.a, self.b)
        except np.linalg.LinAlgError:
            q[self.known] = np.nan
        return q


class Solve:
    """q of a large fleet, in steps of a few milliseconds: what was noted is added, the system is copied, and
    solved. It is the system of all rows up to the last with data, as they were when it began."""

    def __init__(self, matrices: Matrices, known: list[int], kept: float) -> None:
        self.matrices, self.kept_share, self.end = matrices, kept, known[-1] + 1
        self.noted, self.weight, self.at = matrices.noted, matrices.weight, 0
        if len(matrices.spare) != self.end:
            matrices.spare = np.zeros((self.end, self.end))
        self.a, self.b = matrices.spare, np.zeros(self.end)
        matrices.busy = True
        self.pieces: Pieces | None = None

    def step(self) -> Floats | None:
        """Go on; q for the rows up to `end` once it is there."""
        if self.pieces is not None:
            return self.pieces.step()
        m = self.matrices
        for _ in range(PARTS):
            rows = slice(self.at, min(self.at + PART, self.end))
            m.fold_rows(rows, self.noted, self.end)
            sigma, bar_t = m.sigma[rows, : self.end], m.sigma_bar_t[rows, : self.end]
            self.a[rows], self.b[rows] = m.rows(sigma, bar_t, self.at, self.kept_share, self.weight)
            self.at = rows.stop
            if self.at == self.end:
                m.forget(self.noted)
                m.busy = False
                self.pieces = Pieces(self.a, self.b)
                break
        return None
