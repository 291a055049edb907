"""Upstreams that have given notice of their shutdown.

A notice is final for its incarnation: its runs are moved away, and responses
overtake each other, so that one without a notice doesn't show that it was taken
back. It therefore also outlasts an entry in the membership that says otherwise,
which may be older: the source may not have accepted the upstream's own entry,
or may have been restored from a copy.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Iterable

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import incarnation_table

__all__ = ['Notice', 'NoticeUpdate', 'ShutdownNotices', 'parse']

LEAVING = b'1'
NOT_LEAVING = (b'0', b'')
# An entry that says otherwise may be read again this long after a notice.
RETENTION_S = 600.0
# A notice is repeated to peers for this long.
REPEAT_S = 60.0
# Notices in one datagram.
MAX_ITEMS = 32


@dataclasses.dataclass(slots=True, frozen=True)
class Notice:
    """The notice of one incarnation of an upstream.

    Attributes:
      key: Key of the upstream.
      given_s: Loop time at which a gateway got it.
      is_shared: Whether other gateways may not know it from the membership.
    """

    key: str
    given_s: float
    is_shared: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class NoticeUpdate:
    """Notices that a gateway announces.

    Attributes:
      notices: The notices.
      sender: Name of the sending gateway; set on receipt.
    """

    notices: tuple[Notice, ...]
    sender: str = dataclasses.field(default='', compare=False)


class ShutdownNotices:
    """The notices that are known to a gateway."""

    def __init__(self) -> None:
        self._notices: incarnation_table.IncarnationTable[Notice] = (
            incarnation_table.IncarnationTable(
                lambda notice: notice.given_s, RETENTION_S, RETENTION_S
            )
        )
        self._invalid = incarnation_table.InvalidValueLog(_invalid_notice)
        self._announce: Callable[[NoticeUpdate], None] = lambda _: None

    def set_announcer(self, announce: Callable[[NoticeUpdate], None]) -> None:
        """Sets the function that sends updates to the other gateways."""
        self._announce = announce

    def includes(self, found: incarnation_table.Incarnation) -> bool:
        """Whether an upstream has given notice."""
        return self._notices.get(found.key) is not None

    def read(
        self, found: incarnation_table.Incarnation, values: Iterable[bytes]
    ) -> bool:
        """Returns whether a response of an upstream gives notice.

        Args:
          found: The upstream.
          values: Values of all headers that may give it.
        """
        values = list(values)
        is_leaving = parse(values)
        if is_leaving is None:
            self._invalid.note(found, values)
        return bool(is_leaving)

    def record(
        self, found: incarnation_table.Incarnation, *, is_shared: bool = False
    ) -> None:
        """Records that an upstream has given notice.

        Args:
          found: The upstream.
          is_shared: Whether to announce it to the other gateways; not if they
            get it from the membership.
        """
        known = self._notices.get(found.key)
        if known is not None and known.is_shared >= is_shared:
            return
        notice = Notice(found.key, _now(), is_shared)
        self._notices.put(found.key, notice)
        if is_shared:
            self._announce(NoticeUpdate((notice,)))

    def receive(self, update: NoticeUpdate) -> None:
        """Records the notices that another gateway knows."""
        for notice in update.notices:
            known = self._notices.get(notice.key)
            if known is None or not known.is_shared:
                self._notices.put(notice.key, notice)

    def expire(self, known: Iterable[incarnation_table.Incarnation]) -> None:
        """Drops the notices of upstreams that are gone."""
        self._notices.expire(known)

    def updates(self) -> list[NoticeUpdate]:
        """Returns the shared notices, for a gateway that has just started."""
        return _updates(one for one in self._notices.values() if one.is_shared)

    def recent(self) -> list[NoticeUpdate]:
        """Returns the latest ones, for gateways that may have missed them."""
        oldest_s = _now() - REPEAT_S
        return _updates(
            one
            for one in self._notices.values()
            if one.is_shared and one.given_s > oldest_s
        )


def parse(values: Iterable[bytes]) -> bool | None:
    """Returns whether headers give notice; None if a value is invalid.

    Of several values, one that gives it is enough.
    """
    texts = [text.strip() for text in b','.join(values).split(b',')]
    if LEAVING in texts:
        return True
    return False if all(text in NOT_LEAVING for text in texts) else None


def _updates(notices: Iterable[Notice]) -> list[NoticeUpdate]:
    found = list(notices)
    return [
        NoticeUpdate(tuple(found[first : first + MAX_ITEMS]))
        for first in range(0, len(found), MAX_ITEMS)
    ]


def _invalid_notice(
    upstream_id: str, value: str
) -> event.ShutdownNoticeInvalid:
    return event.ShutdownNoticeInvalid(
        upstream=upstream_id,
        value=value,
        advice='Send 1 when leaving, and else 0 or no header.',
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
