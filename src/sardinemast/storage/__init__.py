"""Store the log of a replica durably in its data folder."""

from sardinemast.storage._files import OS_FILE_FUNCTIONS, FileFunctions
from sardinemast.storage._log_store import LoadedLog, LogStore, open_log_store
from sardinemast.storage._repair import (
    open_or_replace_log_store,
    set_folder_aside,
)
from sardinemast.storage.exceptions import StorageError

__all__ = (
    'OS_FILE_FUNCTIONS',
    'FileFunctions',
    'LoadedLog',
    'LogStore',
    'StorageError',
    'open_log_store',
    'open_or_replace_log_store',
    'set_folder_aside',
)
