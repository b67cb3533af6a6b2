"""Loads and checks settings files."""

import re
from pathlib import Path
from typing import Any, TypeVar

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.json import decode

from primroseturn.failures import SettingsInvalid

T = TypeVar("T")

SECRET_PATH_WORDS = ("secret", "digest")
ERROR_PATTERN = re.compile(
    r"^(?P<expected>.*?)(?: - at `(?P<path>[^`]+)`)?$", re.DOTALL
)


def load_settings(path: Path, settings_type: type[T]) -> Result[T, SettingsInvalid]:
    """Load the settings of type `settings_type` from a JSON file."""
    try:
        content = path.read_bytes()
    except OSError as error:
        return Error(
            SettingsInvalid("$", str(path), f"a readable file ({error.strerror})")
        )
    return decode_settings(content, settings_type)


def decode_settings(
    content: bytes, settings_type: type[T]
) -> Result[T, SettingsInvalid]:
    """Decode and check settings of type `settings_type` from JSON."""
    try:
        return Ok(decode(content, type=settings_type))
    except ValidationError as error:
        return Error(describe_error(content, error))
    except (DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(SettingsInvalid("$", "<document>", f"valid JSON ({error})"))


def describe_error(content: bytes, error: ValidationError) -> SettingsInvalid:
    """Return the failure for JSON content that does not match its type."""
    try:
        document = decode(content)
    except (DecodeError, UnicodeDecodeError, RecursionError):
        # The typed decoder stops at the first invalid value, so the rest of the
        # content may be invalid JSON.
        document = None
    return describe_mismatch(document, error)


def describe_mismatch(document: Any, error: ValidationError) -> SettingsInvalid:
    """Return the failure with the path, the value at the path and what was expected.

    Parameters
    ----------
    document
        The decoded document, or None if it could not be decoded.
    """
    match = ERROR_PATTERN.match(str(error))
    path = (match and match["path"]) or "$"
    expected = match["expected"] if match else str(error)
    value = "<document>" if document is None else find_value(document, path)
    if any(word in path for word in SECRET_PATH_WORDS):
        value = "<hidden>"
    elif isinstance(value, dict | list):
        # An object or array may contain a secret.
        value = f"<{'object' if isinstance(value, dict) else 'array'}>"
    return SettingsInvalid(path, value, expected)


def find_value(document: Any, path: str) -> Any:
    """Return the value at a path such as ``$.control.seeds[0].vm``."""
    value = document
    for name, index in re.findall(r"\.([^.\[]+)|\[(\d+)\]", path):
        try:
            value = value[int(index)] if index else value[name]
        except (KeyError, IndexError, TypeError):
            return None
    return value
