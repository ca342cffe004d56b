"""Replace a damaged or copied data folder by an empty one."""

import os
from itertools import count
from pathlib import Path

from logbook import Logger

from sardinemast.storage._files import OS_FILE_FUNCTIONS, FileFunctions
from sardinemast.storage._folder import ASIDE_SUFFIX
from sardinemast.storage._log_store import LoadedLog, LogStore, open_log_store
from sardinemast.storage.exceptions import StorageError

_log = Logger('storage')
_REPAIRABLE = frozenset(('storage.E001', 'storage.E003'))


def open_or_replace_log_store(
    folder: Path,
    files: FileFunctions = OS_FILE_FUNCTIONS,
) -> tuple[LogStore, LoadedLog]:
    """Open the log, replacing a damaged or copied folder by an empty one."""
    try:
        return open_log_store(folder, files)
    except StorageError as error:
        if error.code not in _REPAIRABLE:
            raise
        _log.warning('{}', error)
    set_folder_aside(folder, files)
    return open_log_store(folder, files)


def set_folder_aside(
    folder: Path, files: FileFunctions = OS_FILE_FUNCTIONS
) -> Path:
    """Rename the folder, so that a new one can be made; return its path."""
    numbers = count(1)
    aside = folder
    while aside.exists():
        name = f'{folder.name}{ASIDE_SUFFIX}{next(numbers)}'
        aside = folder.with_name(name)
    os.rename(folder, aside)
    files.sync_folder(folder.parent)
    return aside
