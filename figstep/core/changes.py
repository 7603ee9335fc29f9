"""Differences between two documents, field by field, and how to apply them.

Lists of named things are compared by name, so one engine's speed is one small
change however many engines there are. The order of such lists has no meaning
and is not kept.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from figstep.errors import ChangeError

NAME_MEMBERS = ("name", "target")


@dataclass(frozen=True, slots=True)
class Member:
    """Step to a member of an object."""

    name: str


@dataclass(frozen=True, slots=True)
class Item:
    """Step to the item of a list that has this name."""

    name: str


Step = Member | Item


@dataclass(frozen=True, slots=True)
class FieldChange:
    """One difference between two documents.

    Attributes:
        steps: Way to the field from the top of the document.
        before: Value before; None if it was absent.
        after: Value after; None if it is absent.
    """

    steps: tuple[Step, ...]
    before: Any
    after: Any

    @property
    def path(self) -> str:
        """Place in the document, such as ``engines[muc-1].speed``."""
        path = ""
        for step in self.steps:
            match step:
                case Item(name=name):
                    path += f"[{name}]"
                case Member(name=name):
                    path += f".{name}" if path else name
        return path

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path}: {self.after!r}"
        if self.after is None:
            return f"- {self.path}: {self.before!r}"
        return f"~ {self.path}: {self.before!r} -> {self.after!r}"


def diff_documents(
    before: Any, after: Any, steps: tuple[Step, ...] = ()
) -> list[FieldChange]:
    """Return the differences field by field; lists of named things by name."""
    if before == after:
        return []
    if isinstance(before, dict) and isinstance(after, dict):
        changes = []
        for name in sorted(before.keys() | after.keys()):
            child_steps = (*steps, Member(name))
            changes += diff_documents(before.get(name), after.get(name), child_steps)
        return changes
    old, new = _index_by_name(before), _index_by_name(after)
    if before is None and new:
        old = {}
    if not steps or old is None or new is None or not (old or new):
        return [FieldChange(steps, before, after)]
    changes = []
    for name in sorted(old.keys() | new.keys()):
        child_steps = (*steps, Item(name))
        changes += diff_documents(old.get(name), new.get(name), child_steps)
    return changes


def _index_by_name(value: Any) -> dict[str, Any] | None:
    """Return list items by their name; None if they have none."""
    if not isinstance(value, list):
        return None
    items: dict[str, Any] = {}
    for item in value:
        name = _read_name(item)
        if name is None or name in items:
            return None
        items[name] = item
    return items


def _read_name(item: Any) -> str | None:
    if not isinstance(item, dict):
        return None
    for member in NAME_MEMBERS:
        name = item.get(member)
        if isinstance(name, str):
            return name
    return None


def apply_changes(
    document: dict[str, Any], changes: Sequence[FieldChange]
) -> dict[str, Any]:
    """Return a changed document; what does not change is shared with the old one.

    Raises:
        ChangeError: If a change does not fit the document.
    """
    changed: Any = document
    for change in changes:
        changed = _replace(changed, change.steps, change.after)
    if not isinstance(changed, dict):
        raise ChangeError("a change replaced the whole document; publish a file")
    return changed


def _replace(node: Any, steps: Sequence[Step], after: Any) -> Any:
    if not steps:
        return after
    match steps[0]:
        case Member(name=name):
            return _replace_member(node, name, steps[1:], after)
        case Item(name=name):
            return _replace_item(node, name, steps[1:], after)


def _replace_member(node: Any, name: str, rest: Sequence[Step], after: Any) -> Any:
    if not isinstance(node, dict | None):
        raise ChangeError(f"no object holds {name!r}; publish the whole document")
    changed = dict(node or {})
    value = _replace(changed.get(name), rest, after)
    if value is None:
        changed.pop(name, None)
    else:
        changed[name] = value
    return changed


def _replace_item(node: Any, name: str, rest: Sequence[Step], after: Any) -> Any:
    if not isinstance(node, list | None):
        raise ChangeError(f"no list holds {name!r}; publish the whole document")
    changed = list(node or [])
    names = [_read_name(item) for item in changed]
    if name not in names:
        value = _replace(None, rest, after)
        return changed if value is None else [*changed, value]
    index = names.index(name)
    value = _replace(changed[index], rest, after)
    if value is None:
        del changed[index]
    else:
        changed[index] = value
    return changed


def encode_changes(changes: Sequence[FieldChange]) -> list[dict[str, Any]]:
    """Return changes as they stand in a log record, without the old values."""
    encoded = []
    for change in changes:
        path: list[Any] = []
        for step in change.steps:
            match step:
                case Member(name=name):
                    path.append(name)
                case Item(name=name):
                    path.append({"item": name})
        encoded.append({"path": path, "after": change.after})
    return encoded


def decode_changes(encoded: Any) -> list[FieldChange]:
    """Return the changes of a log record.

    Raises:
        ChangeError: If they are not well formed.
    """
    changes = []
    try:
        for item in encoded:
            steps = tuple(_decode_step(step) for step in item["path"])
            changes.append(FieldChange(steps, None, item["after"]))
    except (KeyError, TypeError) as error:
        raise ChangeError("malformed changes; publish with figstep") from error
    return changes


def _decode_step(step: Any) -> Step:
    if isinstance(step, str):
        return Member(step)
    if isinstance(step, dict) and isinstance(step.get("item"), str):
        return Item(step["item"])
    raise ChangeError("malformed path in a change; publish with figstep")
