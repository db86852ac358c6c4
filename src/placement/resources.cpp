#include "placement/resources.h"

#include <algorithm>

namespace reachramp::placement {

Index NameTable::add(const std::string& name) {
  const auto [at, is_new] = indices_.try_emplace(name, size());
  if (is_new) names_.push_back(name);
  return at->second;
}

Index NameTable::find(const std::string& name) const {
  const auto at = indices_.find(name);
  return at == indices_.end() ? kNone : at->second;
}

Resources& Resources::operator+=(const Resources& other) {
  cpus += other.cpus;
  gpus += other.gpus;
  ram_gb += other.ram_gb;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) { return *this += other.scaled(-1); }

bool Resources::holds(const Resources& need) const {
  const double tolerance = 1e-6;  // for rounding errors
  return need.cpus <= cpus + tolerance && need.gpus <= gpus + tolerance &&
         need.ram_gb <= ram_gb + tolerance;
}

std::uint32_t Resources::capacity_for(const Resources& need) const {
  double capacity = 1e6;
  if (need.cpus > 0) capacity = std::min(capacity, (cpus + 1e-6) / need.cpus);
  if (need.gpus > 0) capacity = std::min(capacity, (gpus + 1e-6) / need.gpus);
  if (need.ram_gb > 0) capacity = std::min(capacity, (ram_gb + 1e-6) / need.ram_gb);
  return capacity < 0 ? 0 : static_cast<std::uint32_t>(capacity);
}

Resources Resources::scaled(double factor) const {
  return {cpus * factor, gpus * factor, ram_gb * factor};
}

}  // namespace reachramp::placement
