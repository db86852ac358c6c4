#include "placement/resources.h"

#include <algorithm>

namespace reachramp::placement {

Index NameTable::add(const std::string& name) {
  const auto [at, fresh] = indices_.try_emplace(name, size());
  if (fresh) names_.push_back(name);
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

Resources& Resources::operator-=(const Resources& o) { return *this += o.scaled(-1); }

bool Resources::holds(const Resources& need) const {
  const double slack = 1e-6;
  return need.cpus <= cpus + slack && need.gpus <= gpus + slack && need.ram_gb <= ram_gb + slack;
}

std::uint32_t Resources::capacity_for(const Resources& need) const {
  double copies = 1e6;
  if (need.cpus > 0) copies = std::min(copies, (cpus + 1e-6) / need.cpus);
  if (need.gpus > 0) copies = std::min(copies, (gpus + 1e-6) / need.gpus);
  if (need.ram_gb > 0) copies = std::min(copies, (ram_gb + 1e-6) / need.ram_gb);
  return copies < 0 ? 0 : static_cast<std::uint32_t>(copies);
}

Resources Resources::scaled(double factor) const {
  return {cpus * factor, gpus * factor, ram_gb * factor};
}

}  // namespace reachramp::placement
