#include "settings/s_expression.h"

#include <sexp.h>

#include <charconv>
#include <cmath>
#include <memory>
#include <sstream>

namespace reachramp::settings {

namespace {

// The deleter with which std::unique_ptr owns a tree of the S-expression library.
struct SexpDeleter {
  void operator()(sexp_t* tree) const { destroy_sexp(tree); }
};

// Returns the line on which each list starts, in the order of the text, which is also the order in
// which a walk through the tree visits the lists. The S-expression library reports no positions.
std::vector<int> list_start_lines(const std::string& text) {
  std::vector<int> lines;
  int line = 1;
  bool quoted = false, comment = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '\n') {
      ++line;
      comment = false;
    } else if (quoted && c == '\\') {
      ++i;
    } else if (!comment && c == '"') {
      quoted = !quoted;
    } else if (!quoted && c == ';') {
      comment = true;
    } else if (!quoted && !comment && c == '(') {
      lines.push_back(line);
    }
  }
  return lines;
}

// Converts the library's tree. `lines` is the result of list_start_lines(), `next_list` the index
// of the list that the walk visits next, `line` the line of the enclosing list.
SExpression convert(const sexp_t* source, const std::vector<int>& lines, std::size_t& next_list,
                    int line) {
  SExpression tree;
  tree.line = line;
  if (source->ty != SEXP_LIST) {
    tree.atom = source->val == nullptr ? "" : source->val;
    return tree;
  }
  tree.is_list = true;
  if (next_list < lines.size()) tree.line = lines[next_list];
  ++next_list;
  for (const sexp_t* item = source->list; item != nullptr; item = item->next) {
    tree.items.push_back(convert(item, lines, next_list, tree.line));
  }
  return tree;
}

}  // namespace

const std::string& SExpression::name() const {
  static const std::string none;
  return is_list && !items.empty() && !items.front().is_list ? items.front().atom : none;
}

void throw_bad_settings(const std::string& path, const SExpression& expression,
                        std::string_view field, const std::string& reason) {
  throw BadSettings(path + ": line " + std::to_string(expression.line) + ": " + std::string(field) +
                    ": " + reason);
}

SExpression parse_s_expression(const std::string& text, const std::string& path) {
  std::string copy = text;
  const std::unique_ptr<sexp_t, SexpDeleter> tree(parse_sexp(copy.data(), copy.size()));
  if (!tree || tree->ty != SEXP_LIST) {
    throw BadSettings(path + ": line 1: policy: expected (policy (name value) ...)");
  }
  std::size_t next_list = 0;
  return convert(tree.get(), list_start_lines(text), next_list, 1);
}

std::string to_text(const SExpression& tree) {
  if (!tree.is_list) {
    const bool plain =
        !tree.atom.empty() && tree.atom.find_first_of(" \t\n\r()\";\\'") == std::string::npos;
    if (plain) return tree.atom;
    std::string quoted = "\"";
    for (const char c : tree.atom) {
      if (c == '"' || c == '\\') quoted += '\\';
      quoted += c;
    }
    return quoted + "\"";
  }
  std::string text = "(";
  for (const SExpression& item : tree.items) {
    if (text.size() > 1) text += ' ';
    text += to_text(item);
  }
  return text + ")";
}

const std::string& parse_text(const SExpression& entry, const std::string& path) {
  if (entry.items.size() != 2 || entry.items[1].is_list) {
    throw_bad_settings(path, entry, entry.name(), "expected one value");
  }
  return entry.items[1].atom;
}

double parse_number(const SExpression& entry, double min, double max, const std::string& path) {
  if (entry.items.size() != 2 || entry.items[1].is_list) {
    throw_bad_settings(path, entry, entry.name(), "expected one number");
  }
  const std::string& digits = entry.items[1].atom;
  double number = 0;
  const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (error != std::errc() || stop != digits.data() + digits.size()) {
    throw_bad_settings(path, entry, entry.name(), "not a number: " + digits);
  }
  if (!(number >= min && number <= max)) {
    std::ostringstream reason;
    reason << "must lie between " << min << " and " << max;
    throw_bad_settings(path, entry, entry.name(), reason.str());
  }
  return number;
}

std::uint64_t parse_count(const SExpression& entry, const std::string& path) {
  const double number = parse_number(entry, 0, 9007199254740992.0, path);
  if (number != std::floor(number))
    throw_bad_settings(path, entry, entry.name(), "not a whole number");
  return static_cast<std::uint64_t>(number);
}

}  // namespace reachramp::settings
