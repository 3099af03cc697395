#ifndef GENTIANDEAL_SRC_BOOT_SETTINGS_H_
#define GENTIANDEAL_SRC_BOOT_SETTINGS_H_

#include "ini_reader.h"

/// Settings of one entry instance, read once from its own file. They are apart
/// from the shared settings in the platform's store.
namespace gentiandeal {

/// Reads the text of a boot file.
///
/// @param file Named in faults; a relative settings path is taken from its
///     directory.
/// @param out Starts as the defaults; filled when no fault was found.
/// @param faults Gets every fault of the file.
/// @returns `Errc::kBadSettings` when there is any fault.
std::error_code ParseBootSettings(const std::string& file,
                                  std::string_view text, Init* out,
                                  Diagnostics* faults);

/// The same for a file on disk.
std::error_code LoadBootSettings(const std::string& file, Init* out,
                                 Diagnostics* faults);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_BOOT_SETTINGS_H_
