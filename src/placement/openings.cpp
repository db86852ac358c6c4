#include "placement/openings.h"

#include <algorithm>

#include "placement/plan.h"

namespace reachramp::placement {

namespace {

constexpr double kCrumb = 1e-6;

Resources whole(const cloud::MachineType& type) { return {type.cpus, type.gpus, type.ram_gb}; }

void raise(Resources& bound, const Resources& free) {
  bound.cpus = std::max(bound.cpus, free.cpus);
  bound.gpus = std::max(bound.gpus, free.gpus);
  bound.ram_gb = std::max(bound.ram_gb, free.ram_gb);
}

}  // namespace

Openings::Openings(const Cluster& cluster, double now)
    : cluster_(cluster), now_(now), kept_(cluster.hosts.size()) {
  std::map<std::tuple<bool, double, Index, bool>, std::vector<Index>> by_kind;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const auto& host = cluster.hosts[i];
    if (!host || !usable(cluster, *host, now)) continue;
    const auto* type = cluster.type_of(*host);
    if (type == nullptr) continue;
    by_kind[{!host->spot, type->cpus, host->type, host->backfilled}].push_back(i);
    ++up_[{host->type, host->zone, host->spot}];
  }
  for (auto& [kind, hosts] : by_kind) {
    shelves_.push_back(
        {std::get<2>(kind), !std::get<0>(kind), std::get<3>(kind), std::move(hosts), {}});
  }
  grown();
}

void Openings::grown() {
  for (Shelf& shelf : shelves_) {
    look(shelf, [](Index) {});
  }
}

template <class Use>
void Openings::look(Shelf& shelf, Use use) {
  shelf.most = {};
  for (const Index i : shelf.hosts) {
    if (kept_[i]) continue;
    ++looked_at_;
    raise(shelf.most, cluster_.hosts[i]->free);
    use(i);
  }
}

bool Openings::avoided(const Job& job, Index host) const {
  const auto at = job.failed_on.find(host);
  return at != job.failed_on.end() && now_ < at->second;
}

// All machines of a shelf are alike in this.
bool Openings::open_to(const Job& job, const Shelf& shelf) const {
  return (job.spec.spot || !shelf.spot) && job.fits[shelf.type] &&
         (shelf.lent || !cluster_.is_kept_from(job, shelf.type, shelf.spot));
}

std::vector<Index> Openings::candidates(const Job& job) {
  std::vector<Index> found;
  std::vector<Index> without_image;
  for (Shelf& shelf : shelves_) {
    if (!shelf.most.holds(job.resources_per_task) || !open_to(job, shelf)) continue;
    look(shelf, [&](Index i) {
      const Host& host = *cluster_.hosts[i];
      if (!host.free.holds(job.resources_per_task) || !in_zone(job, host.zone) || avoided(job, i))
        return;
      (host.images.contains(job.spec.image) ? found : without_image).push_back(i);
    });
    found.insert(found.end(), without_image.begin(), without_image.end());
    without_image.clear();
  }
  return found;
}

std::vector<Index> Openings::growing(const Job& job) {
  std::vector<Index> found;
  for (Shelf& shelf : shelves_) {
    if (shelf.most.cpus <= kCrumb || shelf.most.ram_gb <= kCrumb || !open_to(job, shelf)) {
      continue;
    }
    look(shelf, [&](Index i) {
      const Host& host = *cluster_.hosts[i];
      if (host.free.cpus > kCrumb && host.free.ram_gb > kCrumb &&
          !host.free.holds(job.resources_per_task) && in_zone(job, host.zone) && !avoided(job, i)) {
        found.push_back(i);
      }
    });
  }
  return found;
}

void Openings::keep(const std::vector<Index>& hosts) {
  for (const Index host : hosts) kept_[host] = true;
}

// What must share a zone is helped by none of several that only together would do: the limit that
// was kept for such a gang kept its team's array out for good, which had all the machines that were
// rented.
bool Openings::could_hold(const Job& job, Index zone, std::uint32_t tasks) const {
  std::map<Index, std::uint64_t> copies;  // by zone, or all of them as one
  for (const auto& [pool, machines] : up_) {
    if ((zone != kNone && pool.zone != zone) || !in_zone(job, pool.zone) ||
        !allows(cluster_, job, pool.type, pool.spot)) {
      continue;
    }
    copies[job.spec.one_zone ? pool.zone : kNone] +=
        std::uint64_t{machines} *
        whole(*cluster_.machine_type(pool.type)).copies(job.resources_per_task);
  }
  return std::any_of(copies.begin(), copies.end(),
                     [&](const auto& entry) { return entry.second >= tasks; });
}

}  // namespace reachramp::placement
