"""All paths, cut into the classes that path predicates can't tell apart, each with its shortest path.

The predicates run side by side as automata over the characters of normal paths: exact paths and prefixes as
positions in their text, patterns as automata made by `interegular`. The walk goes breadth first through the
states that all of them reach together, so the first path found for a class is a shortest one. Owns the bound
on that walk; past it `TooLarge` is raised, and the answer is `unknown`, never a guess.
"""

from collections import deque
from collections.abc import Sequence
from functools import lru_cache
from typing import Any, Protocol

import interegular
from interegular.fsm import anything_else

from wickgw.routing.match import Path
from wickgw.routing.normal import HEX, PLAIN, UNRESERVED

MOST_STATES = 300_000
LETTERS = tuple(
    sorted(PLAIN | {"/", "%"}, key=lambda c: (not c.isalpha(), c))
)  # witnesses read best in letters
DEAD = -1


class TooLarge(Exception):
    """It can't be decided within the bound."""


class NotRegular(Exception):
    """A pattern that no automaton stands for (a look-ahead, a back-reference)."""


class _Automaton(Protocol):
    def step(self, state: int, letter: str) -> int:
        """The next state; DEAD if nothing can be accepted any more."""

    def accepts(self, state: int) -> bool:
        """Whether what was read so far is meant."""

    def tells_apart(self, state: int) -> set[str] | None:
        """The letters that lead elsewhere than others do; None if any may."""


class _Exact:
    def __init__(self, text: str) -> None:
        self.text = text

    def step(self, state: int, letter: str) -> int:
        return state + 1 if state < len(self.text) and self.text[state] == letter else DEAD

    def accepts(self, state: int) -> bool:
        return state == len(self.text)

    def tells_apart(self, state: int) -> set[str] | None:
        return {self.text[state]} if state < len(self.text) else set()


class _Prefix:
    def __init__(self, text: str) -> None:
        self.text = "" if text == "/" else text

    def step(self, state: int, letter: str) -> int:
        end = len(self.text)
        if state < end:
            return state + 1 if self.text[state] == letter else DEAD
        return end + 1 if state > end or letter == "/" else DEAD

    def accepts(self, state: int) -> bool:
        return state >= len(self.text)

    def tells_apart(self, state: int) -> set[str] | None:
        if state < len(self.text):
            return {self.text[state]}
        return {"/"} if state == len(self.text) else set()


class _Pattern:
    def __init__(self, fsm: Any) -> None:
        self.fsm, self.initial = fsm, fsm.initial
        self.live = {s for s in fsm.states if fsm.islive(s)}
        self.symbol = {
            c: fsm.alphabet[c] if c in fsm.alphabet else fsm.alphabet[anything_else] for c in LETTERS
        }

    def step(self, state: int, letter: str) -> int:
        nxt = self.fsm.map.get(state, {}).get(self.symbol[letter], DEAD)
        return nxt if nxt in self.live else DEAD

    def accepts(self, state: int) -> bool:
        return state in self.fsm.finals

    def tells_apart(self, state: int) -> set[str] | None:
        return None


@lru_cache(maxsize=4096)
def _automaton(path: Path) -> tuple[_Automaton, int]:
    """The automaton of a predicate, and its first state. Raises NotRegular."""
    if path.kind == "exact":
        return _Exact(path.text), 0
    if path.kind == "prefix":
        return _Prefix(path.text), 0
    try:
        fsm = interegular.parse_pattern(path.text).to_fsm()
    except Exception as error:  # its own errors are of several kinds
        raise NotRegular(f"{path.text!r}: {error}") from error
    pattern = _Pattern(fsm)
    return pattern, pattern.initial


def check_regular(path: Path) -> None:
    """Raises NotRegular."""
    _automaton(path)


# Normal paths. A state is what the end of the text so far allows: at the start, after a slash, within a
# segment, after one or two dots that began it, after a percent sign or that and its first digit.
_START, _SLASH, _IN, _DOT, _DOTS, _CODE = "start", "slash", "in", "dot", "dots", "code"


def _walk_normal(state: str, letter: str) -> str | None:
    """The next state among normal paths; None if no normal path goes on so."""
    if state == _START:
        return _SLASH if letter == "/" else None
    if state == _CODE:
        return _CODE + letter if letter in HEX else None
    if state.startswith(_CODE):
        fits = letter in HEX and chr(int(state[-1] + letter, 16)) not in UNRESERVED
        return _IN if fits else None
    if letter == "/":
        return _SLASH if state == _IN else None
    if letter == "%":
        return _CODE
    if letter == ".":
        return {_SLASH: _DOT, _DOT: _DOTS}.get(state, _IN)
    return _IN


def _whole(state: str) -> bool:
    return state in (_SLASH, _IN)


def _finish(text: str, state: str) -> str:
    """The shortest normal path that begins so."""
    if state == _START:
        return "/"
    if state == _CODE:
        return text + "2F"
    if state.startswith(_CODE):
        return text + next(c for c in HEX if _walk_normal(state, c))
    return text if _whole(state) else text + "x"


def classes(paths: Sequence[Path]) -> list[tuple[frozenset[Path], str]]:
    """Every set of predicates that some normal path meets and no others, with a shortest such path.

    Raises TooLarge, NotRegular.
    """
    automata = [_automaton(path) for path in paths]
    machines = [machine for machine, _ in automata]
    first = tuple((k, state) for k, (_, state) in enumerate(automata))
    found: dict[frozenset[Path], str] = {}
    seen = {(_START, first)}
    queue = deque([(_START, first, "")])
    while queue:
        normal, live, text = queue.popleft()
        if _whole(normal):
            met = frozenset(paths[k] for k, state in live if machines[k].accepts(state))
            found.setdefault(met, text)
        if not live:
            if frozenset() not in found:
                found[frozenset()] = _finish(text, normal)
            continue
        for letter in _letters(normal, live, machines):
            next_normal = _walk_normal(normal, letter)
            if next_normal is None:
                continue
            steps = ((k, machines[k].step(state, letter)) for k, state in live)
            key = next_normal, tuple((k, state) for k, state in steps if state != DEAD)
            if key not in seen:
                if len(seen) >= MOST_STATES:
                    raise TooLarge(f"more than {MOST_STATES} states of {len(paths)} paths")
                seen.add(key)
                queue.append((*key, text + letter))
    return list(found.items())


def _letters(normal: str, live: tuple[tuple[int, int], ...], machines: Sequence[_Automaton]) -> Sequence[str]:
    """One letter for each way of going on that some automaton, or normality, tells apart."""
    if normal == _START:
        return "/"
    if normal.startswith(_CODE):
        return HEX
    told: set[str] = {"/", ".", "%"}
    patterns = []
    for k, state in live:
        apart = machines[k].tells_apart(state)
        if apart is None:
            patterns.append((machines[k], state))
        else:
            told |= apart
    others: dict[tuple[int, ...], str] = {}
    for letter in LETTERS:
        if letter not in told:
            others.setdefault(tuple(machine.step(state, letter) for machine, state in patterns), letter)
            if not patterns:
                break
    return [*others.values(), *sorted(told)]
