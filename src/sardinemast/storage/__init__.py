"""Files that last only once they are synced."""

from sardinemast.storage._files import REAL_FILES, FileFunctions
from sardinemast.storage._log_store import LoadedLog, LogStore, open_log_store
from sardinemast.storage._repair import (
    discard_folder,
    open_or_replace_log_store,
)
from sardinemast.storage.exceptions import StorageError

__all__ = (
    'REAL_FILES',
    'FileFunctions',
    'LoadedLog',
    'LogStore',
    'StorageError',
    'discard_folder',
    'open_log_store',
    'open_or_replace_log_store',
)
