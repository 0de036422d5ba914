"""Registries that decorators fill: behaviour that varies, looked up by name."""


class Registry:
    """Named variants of one behaviour.

    Parameters
    ----------
    kind : str
        What the entries are, for error messages, such as ``"policy"``.
    """

    def __init__(self, kind):
        self.kind = kind
        self.by_name = {}

    def register(self, name):
        """Return a decorator that enters a class or function under a name.

        Parameters
        ----------
        name : str or int
            Key of the entry; used once.
        """

        def enter(entry):
            if name in self.by_name:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.by_name[name] = entry
            return entry

        return enter

    def get(self, name):
        """Return the entry of that name.

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
