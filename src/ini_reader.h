#ifndef GENTIANDEAL_SRC_INI_READER_H_
#define GENTIANDEAL_SRC_INI_READER_H_

#include <string>
#include <string_view>
#include <vector>

#include "gentiandeal_p.h"

/// Parsing of INI text and of values with units. All errors of a text are
/// reported at once, so that an operator can correct them in one go.
namespace gentiandeal {

/// One error in a settings text.
struct Diagnostic {
  std::string file_;     ///< File name, or branch path in the store.
  int line_ = 0;         ///< From 1; 0 if the error concerns no single line.
  std::string section_;  ///< May be empty.
  std::string key_;      ///< May be empty.
  std::string message_;  ///< What is wrong and how to correct it.
};

using Diagnostics = std::vector<Diagnostic>;

/// Formats as `file:line: [section] key: message`.
std::string ToString(const Diagnostic& diagnostic);

/// One `key = value` line.
struct IniEntry {
  std::string file_;
  int line_ = 0;
  std::string section_;
  std::string key_;
  std::string value_;
};

/// Parses INI text into entries. Reports lines that are too long, have control
/// characters or are not INI in `diagnostics`.
///
/// @param file Name used in entries and diagnostics.
std::vector<IniEntry> ReadIni(const std::string& file, std::string_view text,
                              Diagnostics* diagnostics);

/// Reads a whole file. @returns the system error on failure.
std::error_code ReadTextFile(const std::string& path, std::string* out);

/// Makes a diagnostic at the position of an entry.
Diagnostic MakeDiagnostic(const IniEntry& entry, std::string message);

/// Types of values, each with its own units.
enum class ValueType : uint8_t {
  kCount,     ///< Whole number without a unit.
  kNumber,    ///< Decimal number without a unit.
  kDuration,  ///< `ms`, `s` or `min`; read as milliseconds.
  kBytes,     ///< `B`, `KiB` or `MiB`; read as bytes.
  kPercent,   ///< `%`.
  kRate,      ///< `/s`.
  kSwitch,    ///< `on` or `off`; read as 1 or 0.
};

/// Allowed range of a value, both ends included, in the unit it is read as.
struct Range {
  double min_ = 0;
  double max_ = 0;
};

/// Parses a value with its unit.
///
/// @param message Set on failure to what is wrong and how to correct it.
/// @returns nothing if the value does not parse, has a wrong or missing unit,
/// or
///     is out of range.
std::optional<double> ParseValue(std::string_view text, ValueType unit,
                                 Range range, std::string* message);

/// Formats a value so that `ParseValue` reads it back, in the largest unit that
/// gives a whole number.
std::string FormatValue(double value, ValueType unit);

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_INI_READER_H_
