// Parser of the operators' policy file, which is written as S-expressions. Every node of the parsed
// tree has its line number, so that an error message can name the place. Each module reads the
// section of the policy that it owns.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace reachramp::settings {

// An atom, or a list of S-expressions.
struct SExpression {
  int line = 0;                    // of the file, from 1
  std::string atom;                // the text of an atom; empty for a list
  std::vector<SExpression> items;  // the elements of a list
  bool is_list = false;

  // Returns the first atom of a list: `name` of (name ...). Empty if this is an atom or does not
  // begin with one.
  const std::string& name() const;
};

// Throws BadSettings with the text `path: line N: field: reason`, N being the expression's line.
[[noreturn]] void throw_bad_settings(const std::string& path, const SExpression& expression,
                                     std::string_view field, const std::string& reason);

// Parses one list. Throws BadSettings if the text is not a list.
SExpression parse_s_expression(const std::string& text, const std::string& path);
// Serializes a tree to text that parse_s_expression() parses into the same tree, except for the
// line numbers.
std::string to_text(const SExpression& tree);

// Returns the value of an entry (name value). Throws BadSettings if it is not one atom.
const std::string& parse_text(const SExpression& entry, const std::string& path);
// Parses the value of an entry (name value) as a number. Throws BadSettings if it is none or
// outside [min, max].
double parse_number(const SExpression& entry, double min, double max, const std::string& path);
// Parses the value of an entry (name value) as a whole number from 0 to 2^53, up to which a double
// is exact. Throws BadSettings for anything else.
std::uint64_t parse_count(const SExpression& entry, const std::string& path);

}  // namespace reachramp::settings
