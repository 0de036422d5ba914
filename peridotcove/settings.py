"""Settings of a node, read from a file of JSON with comments."""

import os

from attrs import frozen

from peridotcove.exceptions import SettingError
from peridotcove.schema import build, number_field
from peridotcove.text_files import read_text


@frozen
class Address:
    """Address on which a server of the node listens.

    Attributes
    ----------
    host : str
        IP address.
    port : int
        TCP port; with 0 the operating system picks a free one, for tests.
    """

    host: str
    port: int = number_field(0, 65_535)


@frozen
class TlsFiles:
    """TLS certificate and key of the server for callers.

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
    """Source of a secret: a file or an environment variable, exactly one of the two.

    Attributes
    ----------
    file : str or None
        File that contains the secret; surrounding white space is stripped.
    variable : str or None
        Environment variable that contains the secret.
    """

    HIDDEN = True

    file: str | None = None
    variable: str | None = None

    def read(self, path):
        """Return the secret as bytes.

        Parameters
        ----------
        path : str
            Key path of the setting, for error messages.

        Raises
        ------
        SettingError
            If neither or both sources are given, the file can't be read, or the secret
            has fewer than 16 characters.
        """
        if (self.file is None) == (self.variable is None):
            raise SettingError(path, "neither or both", "exactly one of file, variable")
        if self.variable is not None:
            text = os.environ.get(self.variable, "")
            source = f"environment variable {self.variable}"
        else:
            source = f"file {self.file}"
            text = read_text(self.file, path)
        if len(text.strip()) < 16:
            raise SettingError(path, f"{source} is short", "16 characters or more")
        return text.strip().encode()


@frozen
class Platform:
    """URLs of the platform's services.

    Attributes
    ----------
    configuration_url : str
        Base URL of the configuration service.
    instances_url : str
        Base URL of the service that lists the instances.
    """

    configuration_url: str
    instances_url: str


@frozen
class Machine:
    """What the machine lets the process use.

    Attributes
    ----------
    memory_mb : int
        Memory in MB.
    descriptors : int
        Open descriptors; if the system allows fewer, its limit counts.
    """

    memory_mb: int = number_field(64, 1 << 22, default=1_024)
    descriptors: int = number_field(128, 1 << 20, default=4_096)


@frozen
class Limits:
    """Size and time limits for requests of callers and for the shutdown.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size in bytes of a request's header section and of its body.
    body_ms : int
        Maximum time in ms for a request's headers and body to arrive.
    first_byte_ms, gap_ms : int
        Maximum time in ms until the first byte of an endpoint's response, and between
        two reads of it.
    caller_stall_ms : int
        Maximum time in ms for which a caller's send buffer may stay full.
    stream_buffer_bytes : int
        Maximum number of bytes buffered for a caller that reads slowly.
    least_bytes_per_s : int
        Least rate at which a caller has to send a request and to take an answer that
        waits for it.
    progress_ms : int
        Time in ms without that rate after which its connection is closed.
    drain_ms : int
        Maximum duration in ms of a graceful shutdown.
    """

    header_bytes: int = number_field(1_024, 1 << 20, default=32_768)
    body_bytes: int = number_field(1_024, 1 << 28, default=4_194_304)
    body_ms: int = number_field(100, 600_000, default=30_000)
    first_byte_ms: int = number_field(10, 3_600_000, default=60_000)
    gap_ms: int = number_field(10, 3_600_000, default=30_000)
    caller_stall_ms: int = number_field(1_000, 3_600_000, default=120_000)
    stream_buffer_bytes: int = number_field(4_096, 1 << 24, default=131_072)
    least_bytes_per_s: int = number_field(1, 1 << 20, default=1_024)
    progress_ms: int = number_field(1_000, 3_600_000, default=30_000)
    drain_ms: int = number_field(0, 86_400_000, default=60_000)


@frozen
class Settings:
    """Settings of one node.

    Attributes
    ----------
    node : str
        Name of the instance, as in the platform's list of instances.
    zone : str
        Availability zone.
    region : str
        Region of the availability zone.
    callers, nodes, operators : Address
        Listening addresses for callers, other nodes and operators.
    secret : Secret
        Secret that all nodes share.
    platform : Platform
        URLs of the platform's services.
    limits : Limits
        Size and time limits for requests of callers and for the shutdown.
    machine : Machine
        What the machine lets the process use.
    tls : TlsFiles or None
        TLS certificate for callers; None for plain HTTP.
    log_level : str
        Lowest level that is logged, such as ``"INFO"``.
    """

    INTERFACE = "own"
    # This format has no setting for the relative capacity of a node: all are equal.
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
    machine: Machine = Machine()
    tls: TlsFiles | None = None
    log_level: str = "INFO"

    @property
    def log_name(self):
        """Node name added to each log line."""
        return self.node


def read_node_settings(file):
    """Return the settings of a node, read in the format of the file.

    Parameters
    ----------
    file : str
        Path of the file: the platform's TOML if it ends in ``.toml``, else JSON with
        comments.

    Raises
    ------
    InvalidSettings
        With all faults found in the file.
    """
    if str(file).endswith(".toml"):
        from peridotcove.platform.settings import read_platform_settings

        return read_platform_settings(file)
    return read_settings(file)


def read_settings(file):
    """Return the settings of a node, read from a file of JSON with comments.

    Parameters
    ----------
    file : str
        Path of the file.

    Raises
    ------
    InvalidSettings
        With all faults found in the file.
    """
    # The platform's nodes have settings in TOML and don't need the JSON parser.
    from peridotcove.json_files import read_json

    return build(Settings, read_json(file), str(file))
