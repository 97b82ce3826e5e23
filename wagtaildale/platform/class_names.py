"""Names the classes of published rules, one class for each rule.

The platform does not say that the name of a rule is unique, while the
product's parts find a class, and what is known of it, by its name. A rule whose
name others have, too, is therefore named by its host as well, and by its
prefix if that is needed.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.types import ClassName

if TYPE_CHECKING:
    from collections.abc import Iterable

# Separates the name of a rule from its host, and the host from the prefix.
SEPARATOR: Final = '@'
# A slash separates service and class where both are named.
RESERVED: Final = str.maketrans(
    {'%': '%25', SEPARATOR: '%40', '/': '%2F'},
)


class RuleKey(Struct, frozen=True, kw_only=True):
    """What identifies a published rule.

    Attributes:
        name: name of the rule.
        host: host that the rule belongs to.
        prefix: paths that the rule matches.
    """

    name: str
    host: str
    prefix: str


def name_classes(keys: Iterable[RuleKey]) -> dict[RuleKey, ClassName]:
    """Name the class of each rule of a configuration.

    Args:
        keys: what identifies each rule.

    Returns:
        Names of the classes, all different and without a slash. The name of a
        rule that no other rule has is the name of its class.
    """
    candidates = {key: _list_candidates(key) for key in keys}
    uses = Counter(
        candidate for each in candidates.values() for candidate in each
    )
    return {
        key: next(name for name in each if uses[name] == 1)
        for key, each in candidates.items()
    }


def _list_candidates(key: RuleKey) -> tuple[ClassName, ...]:
    parts = [
        part.translate(RESERVED) for part in (key.name, key.host, key.prefix)
    ]
    return tuple(
        ClassName(SEPARATOR.join(parts[: count + 1]))
        for count in range(len(parts))
    )
