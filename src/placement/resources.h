// Indices that stand for names in the cluster model, and amounts of machine resources.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

namespace reachramp::placement {

// Identifies a job, machine, machine type, zone or team by its position in the cluster model.
using Index = std::uint32_t;
inline constexpr Index kNone = std::numeric_limits<Index>::max();
// A time that is never reached.
inline constexpr double kNever = std::numeric_limits<double>::infinity();

// Maps names to consecutive indices, starting at 0, and back.
class NameTable {
 public:
  Index add(const std::string& name);         // returns the existing index of a known name
  Index find(const std::string& name) const;  // kNone if the name is unknown
  const std::string& operator[](Index index) const { return names_[index]; }
  Index size() const { return static_cast<Index>(names_.size()); }

 private:
  std::unordered_map<std::string, Index> indices_;
  std::vector<std::string> names_;
};

// An amount of machine resources: what a machine has, what is free on it, or what a task takes.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double ram_gb = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  // Whether `need` fits.
  bool holds(const Resources& need) const;
  // How many times `need` fits.
  std::uint32_t capacity_for(const Resources& need) const;
  Resources scaled(double factor) const;
};

}  // namespace reachramp::placement
