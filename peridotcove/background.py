"""Runs background jobs that must not end before the process does."""

import asyncio
import functools
import logging

from peridotcove.clock import MS_PER_S

RESTART_PAUSE_MS = 500

log = logging.getLogger("peridotcove.background")


def restarting(make_job):
    """Return a coroutine function that runs a job again after an unexpected error.

    An error that ends a task is otherwise seen by nobody until the process ends.

    Parameters
    ----------
    make_job : callable
        Coroutine function. What it returns ends the job.
    """

    @functools.wraps(make_job)
    async def run(*args, **kwargs):
        while True:
            try:
                return await make_job(*args, **kwargs)
            except Exception:
                log.exception(
                    "background job %s failed; it starts again in %d ms",
                    make_job.__qualname__,
                    RESTART_PAUSE_MS,
                )
            await asyncio.sleep(RESTART_PAUSE_MS / MS_PER_S)

    return run
