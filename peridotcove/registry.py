"""Registry of classes, functions or values, filled by decorators and read by name."""


class Registry:
    """Entries of one kind, by unique name.

    Parameters
    ----------
    kind : str
        Kind of the entries, for error messages, such as ``"policy"``.

    Attributes
    ----------
    by_name : dict
        The entries.
    """

    def __init__(self, kind):
        self.kind = kind
        self.by_name = {}

    def register(self, name):
        """Return a decorator that adds a class or function under a name.

        Parameters
        ----------
        name : str or int
            Key of the entry. The decorator raises ValueError if it is already used.
        """

        def add_entry(entry):
            if name in self.by_name:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.by_name[name] = entry
            return entry

        return add_entry

    def get(self, name):
        """Return the entry with the given name.

        Parameters
        ----------
        name : str or int
            Key of the entry.

        Raises
        ------
        KeyError
            If no entry has that name.
        """
        if name not in self.by_name:
            known = ", ".join(str(key) for key in sorted(self.by_name))
            raise KeyError(f"no {self.kind} {name!r}; known: {known}")
        return self.by_name[name]
