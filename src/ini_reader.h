#ifndef GENTIANDEAL_SRC_INI_READER_H_
#define GENTIANDEAL_SRC_INI_READER_H_

#include <string>
#include <string_view>
#include <vector>

#include "gentiandeal_p.h"

/// Reading of INI text and of values with units. All faults of a text are
/// collected, so that an operator mends them in one go.
namespace gentiandeal {

/// One fault in a settings text.
struct Diagnostic {
  std::string file_;     ///< File name, or branch path in the store.
  int line_ = 0;         ///< From 1; 0 when the fault has no line.
  std::string section_;  ///< May be empty.
  std::string key_;      ///< May be empty.
  std::string message_;  ///< What is wrong and how to mend it.
};

using Diagnostics = std::vector<Diagnostic>;

/// Writes `file:line: [section] key: message`.
std::string ToString(const Diagnostic& diagnostic);

/// One `key = value` line.
struct IniEntry {
  std::string file_;
  int line_ = 0;
  std::string section_;
  std::string key_;
  std::string value_;
};

/// Splits a text into entries. Over-long lines, control characters and lines
/// that are not INI are added to `faults`.
///
/// @param file Named in entries and faults.
std::vector<IniEntry> ReadIni(const std::string& file, std::string_view text,
                              Diagnostics* faults);

/// Reads a whole file. @returns the system's error.
std::error_code ReadTextFile(const std::string& path, std::string* out);

/// Makes a fault about an entry.
Diagnostic FaultAt(const IniEntry& entry, std::string message);

/// Kinds of values, each with its own units.
enum class Unit : uint8_t {
  kCount,     ///< Whole number without a unit.
  kNumber,    ///< Decimal number without a unit.
  kDuration,  ///< `ms`, `s` or `min`; read as milliseconds.
  kBytes,     ///< `B`, `KiB` or `MiB`; read as bytes.
  kPercent,   ///< `%`.
  kRate,      ///< `/s`.
  kSwitch,    ///< `on` or `off`; read as 1 or 0.
};

/// Allowed range of a value, in the unit it is read as.
struct Range {
  double min_ = 0;
  double max_ = 0;
};

/// Reads a value with its unit.
///
/// @param fault Set to a message with a remedy on failure.
/// @returns nothing when the unit is missing or the value is out of range.
std::optional<double> ParseValue(std::string_view text, Unit unit, Range range,
                                 std::string* fault);

/// Writes a value the way `ParseValue` reads it.
std::string FormatValue(double value, Unit unit);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_INI_READER_H_
