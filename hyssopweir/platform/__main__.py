"""Command line entry point of an instance on the platform."""

import asyncio
import gc
import sys
from pathlib import Path

from result import Err

from hyssopweir.clock import Clock
from hyssopweir.log_lines import RateLimitedHandler, log_to_stdout
from hyssopweir.platform.instance import PlatformInstance
from hyssopweir.platform.settings import (
    PlatformSettings,
    load_platform_settings,
    settings_path,
)


def main(path: Path) -> int:
    """Return the exit status: 0 after a planned stop, else the code of a fault."""
    loaded = load_platform_settings(path)
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            print(fault, file=sys.stderr)
        return int(loaded.err_value[0].code)
    settings = loaded.ok_value
    lines = log_to_stdout(settings.log_level, settings.lines_per_second)
    # Loaded modules live until exit, so the garbage collector need not scan them.
    gc.freeze()
    asyncio.run(_run(settings, lines))
    return 0


async def _run(settings: PlatformSettings, lines: RateLimitedHandler) -> None:
    # Clock() requires a running event loop.
    await PlatformInstance(settings, lines, Clock()).run()


if __name__ == "__main__":
    raise SystemExit(main(settings_path()))
