#ifndef GENTIANDEAL_SRC_BOOT_SETTINGS_H_
#define GENTIANDEAL_SRC_BOOT_SETTINGS_H_

#include "ini_reader.h"

/// Settings of one entry instance, read at start from its own boot file. They
/// are separate from the shared settings in the platform's store.
namespace gentiandeal {

/// Parses the text of a boot file.
///
/// @param file Name used in diagnostics. A relative settings path is resolved
///     against its directory.
/// @param out Set only when no error was found; keys that are not given get
///     their defaults.
/// @param diagnostics Receives all errors of the file.
/// @returns `Errc::kBadSettings` when there is any error.
std::error_code ParseBootSettings(const std::string& file,
                                  std::string_view text, Init* out,
                                  Diagnostics* diagnostics);

/// Reads and parses a boot file on disk.
std::error_code LoadBootSettings(const std::string& file, Init* out,
                                 Diagnostics* diagnostics);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_BOOT_SETTINGS_H_
