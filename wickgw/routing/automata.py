"""Partitions all paths into equivalence classes that path matchers can't distinguish.

All matchers run in parallel as automata over the characters of normal paths. For an exact path or a prefix,
the state is the position in its text. For a pattern, `interegular` builds the automaton. A breadth-first
search visits the combined states, so the first path found for an equivalence class is a shortest one. The
search is bounded by `MAX_STATES`. Beyond the bound it raises `BoundExceededError`, and the verdict is
`unknown` instead of a guess.
"""

from collections import deque
from collections.abc import Sequence
from functools import lru_cache
from typing import Any, Protocol

import interegular
from interegular.fsm import anything_else

from wickgw.routing.match import PathMatcher
from wickgw.routing.normal import HEX_DIGITS, SEGMENT_CHARACTERS, UNRESERVED

MAX_STATES = 300_000
# Letters come first: they make the most readable witnesses.
ALPHABET = tuple(
    sorted(SEGMENT_CHARACTERS | {"/", "%"}, key=lambda character: (not character.isalpha(), character))
)
DEAD = -1  # the state from which nothing can be accepted


class BoundExceededError(Exception):
    """The question can't be decided within the bound on states."""


class NotRegularError(Exception):
    """A pattern has no finite automaton, for example because of a look-ahead or a back-reference."""


class _Automaton(Protocol):
    def step(self, state: int, character: str) -> int:
        """Return the next state; DEAD if nothing can be accepted any more."""

    def accepts(self, state: int) -> bool:
        """Return whether the characters read so far match."""

    def distinguished_characters(self, state: int) -> set[str] | None:
        """Return the characters that lead to another state than the rest; None if any character may."""


class _ExactAutomaton:
    def __init__(self, text: str) -> None:
        self.text = text

    def step(self, state: int, character: str) -> int:
        return state + 1 if state < len(self.text) and self.text[state] == character else DEAD

    def accepts(self, state: int) -> bool:
        return state == len(self.text)

    def distinguished_characters(self, state: int) -> set[str] | None:
        return {self.text[state]} if state < len(self.text) else set()


class _PrefixAutomaton:
    def __init__(self, text: str) -> None:
        self.text = "" if text == "/" else text

    def step(self, state: int, character: str) -> int:
        end = len(self.text)
        if state < end:
            return state + 1 if self.text[state] == character else DEAD
        return end + 1 if state > end or character == "/" else DEAD

    def accepts(self, state: int) -> bool:
        return state >= len(self.text)

    def distinguished_characters(self, state: int) -> set[str] | None:
        if state < len(self.text):
            return {self.text[state]}
        return {"/"} if state == len(self.text) else set()


class _PatternAutomaton:
    def __init__(self, fsm: Any) -> None:
        self.fsm, self.initial = fsm, fsm.initial
        self.live = {state for state in fsm.states if fsm.islive(state)}
        self.symbols = {
            character: fsm.alphabet[character] if character in fsm.alphabet else fsm.alphabet[anything_else]
            for character in ALPHABET
        }

    def step(self, state: int, character: str) -> int:
        next_state = self.fsm.map.get(state, {}).get(self.symbols[character], DEAD)
        return next_state if next_state in self.live else DEAD

    def accepts(self, state: int) -> bool:
        return state in self.fsm.finals

    def distinguished_characters(self, state: int) -> set[str] | None:
        return None


@lru_cache(maxsize=4096)
def _automaton(path: PathMatcher) -> tuple[_Automaton, int]:
    """Return the automaton of a path matcher and its initial state. Raises NotRegularError."""
    if path.kind == "exact":
        return _ExactAutomaton(path.text), 0
    if path.kind == "prefix":
        return _PrefixAutomaton(path.text), 0
    try:
        fsm = interegular.parse_pattern(path.text).to_fsm()
    except Exception as error:  # interegular raises several unrelated types
        raise NotRegularError(f"{path.text!r}: {error}") from error
    pattern = _PatternAutomaton(fsm)
    return pattern, pattern.initial


def check_regular(path: PathMatcher) -> None:
    """Raise NotRegularError if `path` is a pattern without a finite automaton."""
    _automaton(path)


# The automaton of normal paths. The state describes the end of the text so far: the start, after a slash,
# within a segment, after one or two dots that begin a segment, after a percent sign, or after a percent sign
# and its first digit (`_PERCENT` with the digit appended).
_START, _SLASH, _SEGMENT, _DOT, _TWO_DOTS, _PERCENT = "start", "slash", "in", "dot", "dots", "code"


def _step_normal(state: str, character: str) -> str | None:
    """Return the next state among normal paths; None if no normal path continues with `character`."""
    if state == _START:
        return _SLASH if character == "/" else None
    if state == _PERCENT:
        return _PERCENT + character if character in HEX_DIGITS else None
    if state.startswith(_PERCENT):
        valid = character in HEX_DIGITS and chr(int(state[-1] + character, 16)) not in UNRESERVED
        return _SEGMENT if valid else None
    if character == "/":
        return _SLASH if state == _SEGMENT else None
    if character == "%":
        return _PERCENT
    if character == ".":
        return {_SLASH: _DOT, _DOT: _TWO_DOTS}.get(state, _SEGMENT)
    return _SEGMENT


def _is_complete(state: str) -> bool:
    """Return whether the text so far is a normal path."""
    return state in (_SLASH, _SEGMENT)


def _complete_path(text: str, state: str) -> str:
    """Return the shortest normal path that begins with `text`, whose state is `state`."""
    if state == _START:
        return "/"
    if state == _PERCENT:
        return text + "2F"
    if state.startswith(_PERCENT):
        return text + next(digit for digit in HEX_DIGITS if _step_normal(state, digit))
    return text if _is_complete(state) else text + "x"


def path_equivalence_classes(paths: Sequence[PathMatcher]) -> list[tuple[frozenset[PathMatcher], str]]:
    """Return every set of matchers that some normal path matches exactly, with a shortest such path.

    Raises BoundExceededError and NotRegularError.
    """
    automata_with_states = [_automaton(path) for path in paths]
    automata = [automaton for automaton, _ in automata_with_states]
    initial = tuple((index, state) for index, (_, state) in enumerate(automata_with_states))
    found: dict[frozenset[PathMatcher], str] = {}
    seen = {(_START, initial)}
    queue = deque([(_START, initial, "")])
    while queue:
        normal, live, text = queue.popleft()
        if _is_complete(normal):
            matching = frozenset(paths[index] for index, state in live if automata[index].accepts(state))
            found.setdefault(matching, text)
        if not live:
            if frozenset() not in found:
                found[frozenset()] = _complete_path(text, normal)
            continue
        for character in _representative_characters(normal, live, automata):
            next_normal = _step_normal(normal, character)
            if next_normal is None:
                continue
            steps = ((index, automata[index].step(state, character)) for index, state in live)
            key = next_normal, tuple((index, state) for index, state in steps if state != DEAD)
            if key not in seen:
                if len(seen) >= MAX_STATES:
                    raise BoundExceededError(f"more than {MAX_STATES} states of {len(paths)} paths")
                seen.add(key)
                queue.append((*key, text + character))
    return list(found.items())


def _representative_characters(
    normal: str, live: tuple[tuple[int, int], ...], automata: Sequence[_Automaton]
) -> Sequence[str]:
    """Return one character for each continuation that an automaton or the normal form distinguishes."""
    if normal == _START:
        return "/"
    if normal.startswith(_PERCENT):
        return HEX_DIGITS
    distinguished: set[str] = {"/", ".", "%"}
    patterns = []
    for index, state in live:
        characters = automata[index].distinguished_characters(state)
        if characters is None:
            patterns.append((automata[index], state))
        else:
            distinguished |= characters
    others: dict[tuple[int, ...], str] = {}
    for character in ALPHABET:
        if character not in distinguished:
            others.setdefault(
                tuple(automaton.step(state, character) for automaton, state in patterns), character
            )
            if not patterns:
                break
    return [*others.values(), *sorted(distinguished)]
