"""Seeing what a decision module hears and does, without a word in it."""

from __future__ import annotations

from typing import Protocol

from harriertrack.decisions.interface import Action, Event
from harriertrack.decisions.requests import DecisionModule


class Observer(Protocol):
    """Who sees."""

    def follow(self, now: int, events: list[Event], actions: list[Action]) -> None:
        """See what a module heard and did."""


class ObservedModule:
    """A decision module, and who sees what it hears and does."""

    def __init__(self, module: DecisionModule, observer: Observer) -> None:
        self._module, self._observer = module, observer

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events of one moment and return the actions, in order."""
        actions = self._module.handle(now, events)
        self._observer.follow(now, events, actions)
        return actions
