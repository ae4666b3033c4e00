"""Observation of a decision module's events and actions, without influence on them."""

from __future__ import annotations

from typing import Protocol

from harriertrack.decisions.interface import Action, Event
from harriertrack.decisions.requests import DecisionModule


class Observer(Protocol):
    """Observes a decision module."""

    def follow(self, now: int, events: list[Event], actions: list[Action]) -> None:
        """Observe the events that a module handled and the actions that it returned."""


class ObservedModule:
    """A decision module with an observer of its events and actions."""

    def __init__(self, module: DecisionModule, observer: Observer) -> None:
        self._module, self._observer = module, observer

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Handle the events of one moment and return the actions, in order."""
        actions = self._module.handle(now, events)
        self._observer.follow(now, events, actions)
        return actions
