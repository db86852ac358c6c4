// Dense indices for names, and amounts of what tasks take of machines.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

namespace reachramp::placement {

using Index = std::uint32_t;
inline constexpr Index kNone = std::numeric_limits<Index>::max();
inline constexpr double kNever = std::numeric_limits<double>::infinity();

// Names become dense indices at the door.
class NameTable {
 public:
  Index add(const std::string& name);
  Index find(const std::string& name) const;
  const std::string& operator[](Index index) const { return names_[index]; }
  Index size() const { return static_cast<Index>(names_.size()); }

 private:
  std::unordered_map<std::string, Index> indices_;
  std::vector<std::string> names_;
};

struct Resources {
  double cpus = 0;
  double gpus = 0;
  double ram_gb = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  bool holds(const Resources& need) const;
  std::uint32_t capacity_for(const Resources& need) const;  // how many times it holds it
  Resources scaled(double factor) const;
};

}  // namespace reachramp::placement
