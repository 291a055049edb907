"""Hypothesis strategies for messages of every class."""

from __future__ import annotations

import dataclasses
import typing

from hypothesis import strategies as st

from quetzalsill.wire import message

__all__ = ['MESSAGES', 'of_class']

VALUES = {
    int: st.integers(-(2**63), 2**64 - 1),
    str: st.text(max_size=20),
    bytes: st.binary(max_size=40),
    bool: st.booleans(),
    float: st.floats(allow_nan=False, allow_infinity=False),
    list[str]: st.lists(st.text(max_size=5), max_size=4),
    list[bytes]: st.lists(st.binary(max_size=10), max_size=4),
    list[list[str]]: st.lists(
        st.lists(st.text(max_size=5), min_size=2, max_size=2), max_size=3
    ),
}


def of_class(cls):
    hints = typing.get_type_hints(cls)
    fields = dataclasses.fields(cls)
    return st.builds(cls, *(VALUES[hints[field.name]] for field in fields))


MESSAGES = st.one_of(*map(of_class, message.BY_NUMBER.values()))
