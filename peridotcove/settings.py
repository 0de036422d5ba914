"""Settings of one node, read from a file of JSON with comments."""

import os
import pathlib

import pyjson5
from attrs import frozen

from peridotcove.duplicate_keys import find_duplicate_keys
from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.schema import build, number_field


@frozen
class Address:
    """Where a server of the node listens.

    Attributes
    ----------
    host : str
        IP number.
    port : int
        Port; 0 takes one from the system, for trials.
    """

    host: str
    port: int = number_field(0, 65_535)


@frozen
class TlsFiles:
    """Certificate for callers.

    Attributes
    ----------
    certificate_file : str
        PEM file with the certificate chain.
    key_file : str
        PEM file with the private key.
    """

    certificate_file: str
    key_file: str


@frozen
class Secret:
    """A secret from a file or from the environment; just one of the two.

    Attributes
    ----------
    file : str or None
        File whose stripped content is the secret.
    variable : str or None
        Environment variable that holds it.
    """

    HIDDEN = True

    file: str | None = None
    variable: str | None = None

    def read(self, path):
        """Return the secret as bytes.

        Parameters
        ----------
        path : str
            Where the setting stands, for error messages.

        Raises
        ------
        SettingError
            If neither or both places are given, or the place is empty.
        """
        if (self.file is None) == (self.variable is None):
            raise SettingError(path, "neither or both", "one of file, variable")
        if self.variable is not None:
            text = os.environ.get(self.variable, "")
            place = f"environment variable {self.variable}"
        else:
            place = f"file {self.file}"
            text = _read_text(self.file, path)
        if len(text.strip()) < 16:
            raise SettingError(path, f"{place} is short", "16 characters or more")
        return text.strip().encode()


@frozen
class Platform:
    """Where the platform publishes.

    Attributes
    ----------
    configuration_url : str
        Base URL of the configuration service.
    instances_url : str
        Base URL of the list of instances.
    """

    configuration_url: str
    instances_url: str


@frozen
class Limits:
    """What one node takes from strangers.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest head and body of a request.
    body_ms : int
        Longest time in ms for a request's head and body to arrive.
    first_byte_ms, gap_ms : int
        Longest wait in ms for an endpoint's first byte, and between two.
    caller_stall_ms : int
        Longest time in ms for which a caller may keep a full buffer.
    stream_buffer_bytes : int
        Most bytes held for a caller that reads slowly.
    drain_ms : int
        Longest graceful shutdown in ms.
    """

    header_bytes: int = number_field(1_024, 1 << 20, default=32_768)
    body_bytes: int = number_field(1_024, 1 << 28, default=4_194_304)
    body_ms: int = number_field(100, 600_000, default=30_000)
    first_byte_ms: int = number_field(10, 3_600_000, default=60_000)
    gap_ms: int = number_field(10, 3_600_000, default=30_000)
    caller_stall_ms: int = number_field(1_000, 3_600_000, default=120_000)
    stream_buffer_bytes: int = number_field(4_096, 1 << 24, default=131_072)
    drain_ms: int = number_field(0, 86_400_000, default=60_000)


@frozen
class Settings:
    """Settings of one node.

    Attributes
    ----------
    node : str
        Name of the instance, as in the platform's list.
    zone : str
        Availability zone.
    region : str
        Region of the zone.
    callers, nodes, operators : Address
        Where callers, other nodes and operators connect.
    secret : Secret
        Shared secret of the nodes.
    platform : Platform
        Where the platform publishes.
    limits : Limits
        What the node takes from strangers.
    tls : TlsFiles or None
        Certificate for callers; plain HTTP without it.
    log_level : str
        Level of the log, such as ``"INFO"``.
    """

    INTERFACE = "own"
    # Not told by these settings; all nodes count as alike.
    power = 1.0

    node: str
    zone: str
    region: str
    callers: Address
    nodes: Address
    operators: Address
    secret: Secret
    platform: Platform
    limits: Limits = Limits()
    tls: TlsFiles | None = None
    log_level: str = "INFO"

    @property
    def log_name(self):
        """Name of the node on each line of its log."""
        return self.node


def _read_text(file, path):
    try:
        return pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingError(path, str(error), "a readable file of UTF-8 text") from None


def read_json(file):
    """Return the JSON value of a file of JSON with comments.

    Parameters
    ----------
    file : str
        Path of the file.

    Raises
    ------
    InvalidSettings
        If the file can't be read or is no JSON.
    """
    try:
        text = _read_text(file, str(file))
        raw = pyjson5.decode(text)
        faults = list(find_duplicate_keys(text, str(file)))
    except SettingError as error:
        raise InvalidSettings(f"{file} is not valid", [error]) from None
    except pyjson5.Json5Exception as error:
        fault = SettingError(str(file), str(error), "JSON with comments")
        raise InvalidSettings(f"{file} is not valid", [fault]) from None
    if faults:
        raise InvalidSettings(f"{file} is not valid", faults)
    return raw


def read_node_settings(file):
    """Return the settings of a node, in the product's own format or the platform's.

    Parameters
    ----------
    file : str
        Path of the file; the platform's end in ``.toml``.

    Raises
    ------
    InvalidSettings
        With all faults of the file.
    """
    if str(file).endswith(".toml"):
        from peridotcove.platform.settings import read_machine_settings

        return read_machine_settings(file)
    return read_settings(file)


def read_settings(file):
    """Return the settings of a node.

    Parameters
    ----------
    file : str
        Path of the file.

    Raises
    ------
    InvalidSettings
        With all faults of the file.
    """
    return build(Settings, read_json(file), str(file))
