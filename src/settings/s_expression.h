// Operators' S-expressions as a tree that knows its lines, so that whatever is wrong is named with
// its place. Sections are read from it by the slices that own them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace reachramp::settings {

struct SExpression {
  int line = 0;
  std::string atom;                // of a value
  std::vector<SExpression> items;  // of a list
  bool is_list = false;

  // The first word of a list: (name ...). Empty if there is none.
  const std::string& name() const;
};

// Throws BadSettings: `path: line N: field: reason`.
[[noreturn]] void throw_bad_settings(const std::string& path, const SExpression& expression,
                                     std::string_view field, const std::string& reason);

// Reads one list. Throws BadSettings.
SExpression parse_s_expression(const std::string& text, const std::string& path);
// What parse_tree() reads back as the same tree but for its lines.
std::string to_text(const SExpression& tree);

// The one value of (name value). Throws BadSettings.
const std::string& parse_text(const SExpression& entry, const std::string& path);
// A number from `least` to `most`.
double parse_number(const SExpression& entry, double min, double max, const std::string& path);
// A whole number of at most 2^53.
std::uint64_t parse_count(const SExpression& entry, const std::string& path);

}  // namespace reachramp::settings
