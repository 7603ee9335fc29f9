"""Field-by-field differences between two documents, and their application.

Lists of named items are compared by name, so a changed speed of one engine is one
small change, however many engines there are. The order of such lists has no
meaning and is not preserved.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from figstep.errors import ChangeError

NAME_MEMBERS = ("name", "target")
"""Members that can name a list item; the first one that is a string is used."""


@dataclass(frozen=True, slots=True)
class Member:
    """Path step to the member of an object that has the given name."""

    name: str


@dataclass(frozen=True, slots=True)
class Item:
    """Path step to the item of a list that has the given name."""

    name: str


Step = Member | Item


@dataclass(frozen=True, slots=True)
class FieldChange:
    """Difference between two documents in one field.

    Attributes:
        steps: Path of the field from the top of the document.
        before: Value before the change; None if the field was absent or null.
        after: Value after the change; None if the field is absent or null.
    """

    steps: tuple[Step, ...]
    before: Any
    after: Any

    @property
    def path(self) -> str:
        """Path of the field as text, such as ``engines[muc-1].speed``."""
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
    """Return the differences between two documents, field by field.

    Lists whose items all have distinct names are compared by name; other lists are
    compared as a whole.

    Args:
        before: Old document, or the part of it at ``steps``.
        after: New document, or the part of it at ``steps``.
        steps: Path of the compared parts from the top of the document.
    """
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
    """Return list items by name; None unless all items have distinct names."""
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
    """Return a document with the changes applied.

    The given document is not modified; unchanged parts are shared with the result.
    A field whose new value is None is removed.

    Raises:
        ChangeError: If the path of a change leads through a value that is not the
            object or list that the path expects, or if a change replaces the whole
            document by a value that is not an object.
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
    """Return the JSON form of changes for a log record, without the old values."""
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
    """Return the changes that a log record holds; their old values are None.

    Raises:
        ChangeError: If the encoded changes are malformed.
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
