"""Reads all configuration: the platform's JSON, the operators' file and the file of a control replica."""

from glenfold.config.address import Address, format_address, read_address
from glenfold.config.platform import (
    Config,
    ConfigError,
    ConnectionLimits,
    Names,
    read_again,
    read_config,
)

__all__ = [
    "Address",
    "Config",
    "ConfigError",
    "Names",
    "ConnectionLimits",
    "read_address",
    "read_again",
    "read_config",
    "format_address",
]
