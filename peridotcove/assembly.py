"""Assembles parts into a validated configuration, rebuilding only changed entries."""

import attrs
from attrs import evolve, field, frozen

from peridotcove.configuration import find_faults
from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.models import Configuration
from peridotcove.schema import build

PATH = "configuration"


def _map_sections():
    specs = attrs.fields(Configuration)
    return {
        spec.metadata.get("key", spec.name): spec.name
        for spec in specs
        if spec.name.endswith("_by_name")
    }


ATTRIBUTE_BY_SECTION = _map_sections()


@frozen
class AssembledConfiguration:
    """A configuration, and the part from which each of its entries comes.

    Attributes
    ----------
    configuration : Configuration
        The whole configuration.
    part_by_key : dict
        Name of the part by key of the entry, by section.
    unkeyed : dict
        Entries of sections whose members have no names of their own, such as bounds.
    """

    configuration: Configuration = Configuration()
    part_by_key: dict = field(factory=dict)
    unkeyed: dict = field(factory=dict)

    def apply(self, revision, change_by_part):
        """Return the configuration after a change; only changed entries are rebuilt.

        Parameters
        ----------
        revision : int
            The new revision.
        change_by_part : dict of PartDiff
            Differences by name of the part.

        Raises
        ------
        InvalidSettings
            With all faults of the new configuration.
        """
        part_by_key = _update_part_by_key(self.part_by_key, change_by_part)
        unkeyed = self._apply_unkeyed(change_by_part)
        raw = {"revision": revision, **unkeyed}
        for change in change_by_part.values():
            for section, entries in change.changed.items():
                if section not in unkeyed:
                    raw.setdefault(section, {}).update(entries)
        fresh = build(Configuration, raw, PATH)
        configuration = self._merge(fresh, change_by_part)
        faults = list(find_faults(configuration, PATH, self.configuration))
        if faults:
            raise InvalidSettings(f"{PATH} is not valid", faults)
        return AssembledConfiguration(configuration, part_by_key, unkeyed)

    def _apply_unkeyed(self, change_by_part):
        unkeyed = {section: dict(entries) for section, entries in self.unkeyed.items()}
        for change in change_by_part.values():
            for section, keys in change.removed.items():
                for key in keys if section in unkeyed else ():
                    unkeyed[section].pop(key, None)
        for change in change_by_part.values():
            for section, entries in change.changed.items():
                if section not in ATTRIBUTE_BY_SECTION:
                    unkeyed.setdefault(section, {}).update(entries)
        return {section: entries for section, entries in unkeyed.items() if entries}

    def _merge(self, fresh, change_by_part):
        values = {}
        for section, name in ATTRIBUTE_BY_SECTION.items():
            removed = [
                key
                for change in change_by_part.values()
                for key in change.removed.get(section, ())
            ]
            new = getattr(fresh, name)
            if removed or new:
                values[name] = dict(getattr(self.configuration, name))
                for key in removed:
                    values[name].pop(key, None)
                values[name].update(new)
        bounds = fresh.bounds
        revision = fresh.revision
        return evolve(self.configuration, revision=revision, bounds=bounds, **values)


def _update_part_by_key(part_by_key, change_by_part):
    updated = dict(part_by_key)
    for change in change_by_part.values():
        for section, keys in change.removed.items():
            updated[section] = dict(updated.get(section, ()))
            for key in keys:
                updated[section].pop(key, None)
    faults = []
    for part, change in sorted(change_by_part.items()):
        for section, entries in change.changed.items():
            updated[section] = dict(updated.get(section, ()))
            faults += _assign_keys(updated[section], part, section, entries)
    if faults:
        raise InvalidSettings(f"{PATH} is not valid", faults)
    return updated


def _assign_keys(owners, part, section, entries):
    for key in entries:
        other = owners.setdefault(key, part)
        if other != part:
            location = f"{PATH}.{section}.{key}"
            yield SettingError(
                location, f"part {part}", f"one part; {other} has it too"
            )
