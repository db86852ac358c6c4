#include "settings/tree.h"

#include <sexp.h>

#include <charconv>
#include <cmath>
#include <memory>
#include <sstream>

namespace reachramp::settings {

namespace {

struct Freed {
  void operator()(sexp_t* tree) const { destroy_sexp(tree); }
};

// The library does not tell where it found what. Lists open in the text in the order in which a
// walk through the tree meets them.
std::vector<int> lines_of_lists(const std::string& text) {
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

Tree build(const sexp_t* from, const std::vector<int>& lines, std::size_t& lists, int line) {
  Tree tree;
  tree.line = line;
  if (from->ty != SEXP_LIST) {
    tree.atom = from->val == nullptr ? "" : from->val;
    return tree;
  }
  tree.is_list = true;
  if (lists < lines.size()) tree.line = lines[lists];
  ++lists;
  for (const sexp_t* item = from->list; item != nullptr; item = item->next) {
    tree.items.push_back(build(item, lines, lists, tree.line));
  }
  return tree;
}

}  // namespace

const std::string& Tree::name() const {
  static const std::string none;
  return is_list && !items.empty() && !items.front().is_list ? items.front().atom : none;
}

void refuse(const std::string& path, const Tree& at, std::string_view field,
            const std::string& reason) {
  throw BadSettings(path + ": line " + std::to_string(at.line) + ": " + std::string(field) + ": " +
                    reason);
}

Tree parse_tree(const std::string& text, const std::string& path) {
  std::string copy = text;
  const std::unique_ptr<sexp_t, Freed> tree(parse_sexp(copy.data(), copy.size()));
  if (!tree || tree->ty != SEXP_LIST) {
    throw BadSettings(path + ": line 1: policy: expected (policy (name value) ...)");
  }
  std::size_t lists = 0;
  return build(tree.get(), lines_of_lists(text), lists, 1);
}

std::string to_text(const Tree& tree) {
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
  for (const Tree& item : tree.items) {
    if (text.size() > 1) text += ' ';
    text += to_text(item);
  }
  return text + ")";
}

const std::string& word_in(const Tree& entry, const std::string& path) {
  if (entry.items.size() != 2 || entry.items[1].is_list) {
    refuse(path, entry, entry.name(), "expected one value");
  }
  return entry.items[1].atom;
}

double number_in(const Tree& entry, double least, double most, const std::string& path) {
  if (entry.items.size() != 2 || entry.items[1].is_list) {
    refuse(path, entry, entry.name(), "expected one number");
  }
  const std::string& digits = entry.items[1].atom;
  double number = 0;
  const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (error != std::errc() || stop != digits.data() + digits.size()) {
    refuse(path, entry, entry.name(), "not a number: " + digits);
  }
  if (!(number >= least && number <= most)) {
    std::ostringstream why;
    why << "must lie between " << least << " and " << most;
    refuse(path, entry, entry.name(), why.str());
  }
  return number;
}

std::uint64_t count_in(const Tree& entry, const std::string& path) {
  const double number = number_in(entry, 0, 9007199254740992.0, path);
  if (number != std::floor(number)) refuse(path, entry, entry.name(), "not a whole number");
  return static_cast<std::uint64_t>(number);
}

}  // namespace reachramp::settings
