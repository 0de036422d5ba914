"""Processor time and memory of other processes, read from the kernel."""

import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_cpu_s(pid):
    """Return the processor time of a process in s.

    Parameters
    ----------
    pid : int
        Id of the process.
    """
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_resident_bytes(pid):
    """Return the resident memory of a process in bytes.

    Parameters
    ----------
    pid : int
        Id of the process.
    """
    text = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="utf-8")
    return int(text.split()[1]) * PAGE_BYTES
