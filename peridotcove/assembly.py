"""Puts the parts together to a checked configuration, entry by entry."""

import attrs
from attrs import evolve, field, frozen

from peridotcove.configuration import find_faults
from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.models import Configuration
from peridotcove.schema import build

PATH = "configuration"


def _name_sections():
    specs = attrs.fields(Configuration)
    return {
        spec.metadata.get("key", spec.name): spec.name
        for spec in specs
        if spec.name.endswith("_by_name")
    }


ATTRIBUTE_BY_SECTION = _name_sections()


@frozen
class Assembly:
    """A configuration, and which part each of its entries is from.

    Attributes
    ----------
    configuration : Configuration
        The whole.
    part_by_key : dict
        Name of the part by key, by section.
    plain : dict
        Entries of sections that have no named members, such as bounds.
    """

    configuration: Configuration = Configuration()
    part_by_key: dict = field(factory=dict)
    plain: dict = field(factory=dict)

    def apply(self, revision, change_by_part):
        """Return the assembly after a change; only changed entries are built anew.

        Parameters
        ----------
        revision : int
            The new revision.
        change_by_part : dict of Change
            Changes by name of the part.

        Raises
        ------
        InvalidSettings
            With all faults of the new whole.
        """
        part_by_key = _move(self.part_by_key, change_by_part)
        plain = self._apply_plain(change_by_part)
        raw = {"revision": revision, **plain}
        for change in change_by_part.values():
            for section, entries in change.changed.items():
                if section not in plain:
                    raw.setdefault(section, {}).update(entries)
        fresh = build(Configuration, raw, PATH)
        configuration = self._merge(fresh, change_by_part)
        faults = list(find_faults(configuration, PATH, self.configuration))
        if faults:
            raise InvalidSettings(f"{PATH} is not valid", faults)
        return Assembly(configuration, part_by_key, plain)

    def _apply_plain(self, change_by_part):
        plain = {section: dict(entries) for section, entries in self.plain.items()}
        for change in change_by_part.values():
            for section, keys in change.dropped.items():
                for key in keys if section in plain else ():
                    plain[section].pop(key, None)
        for change in change_by_part.values():
            for section, entries in change.changed.items():
                if section not in ATTRIBUTE_BY_SECTION:
                    plain.setdefault(section, {}).update(entries)
        return {section: entries for section, entries in plain.items() if entries}

    def _merge(self, fresh, change_by_part):
        values = {}
        for section, name in ATTRIBUTE_BY_SECTION.items():
            dropped = [
                key
                for change in change_by_part.values()
                for key in change.dropped.get(section, ())
            ]
            new = getattr(fresh, name)
            if dropped or new:
                values[name] = dict(getattr(self.configuration, name))
                for key in dropped:
                    values[name].pop(key, None)
                values[name].update(new)
        bounds = fresh.bounds
        revision = fresh.revision
        return evolve(self.configuration, revision=revision, bounds=bounds, **values)


def _move(part_by_key, change_by_part):
    moved = dict(part_by_key)
    for change in change_by_part.values():
        for section, keys in change.dropped.items():
            moved[section] = dict(moved.get(section, ()))
            for key in keys:
                moved[section].pop(key, None)
    faults = []
    for part, change in sorted(change_by_part.items()):
        for section, entries in change.changed.items():
            moved[section] = dict(moved.get(section, ()))
            faults += _claim(moved[section], part, section, entries)
    if faults:
        raise InvalidSettings(f"{PATH} is not valid", faults)
    return moved


def _claim(owners, part, section, entries):
    for key in entries:
        other = owners.setdefault(key, part)
        if other != part:
            place = f"{PATH}.{section}.{key}"
            yield SettingError(place, f"part {part}", f"one part; {other} has it too")
