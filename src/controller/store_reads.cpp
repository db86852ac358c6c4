#include "controller/store_reads.h"

namespace reachramp::controller {

std::optional<std::vector<kv::Entry>> list_all(kv::Client& store, const std::string& prefix,
                                               std::uint64_t* first_revision) {
  std::vector<kv::Entry> entries;
  for (;;) {
    kv::ListResult page = store.list(prefix, entries.empty() ? "" : entries.back().key);
    if (page.outcome != kv::Outcome::ok) return std::nullopt;
    // Later pages may already contain later changes, so a watch must start from the first page's
    // revision.
    if (first_revision != nullptr && *first_revision == 0) *first_revision = page.store_revision;
    const bool more = page.has_more && !page.entries.empty();
    for (auto& entry : page.entries) entries.push_back(std::move(entry));
    if (!more) return entries;
  }
}

bool read_optional(kv::Client& store, const std::string& key, std::optional<kv::Entry>& entry) {
  kv::ReadResult found = store.get(key);
  if (found.outcome == kv::Outcome::ok) entry = std::move(found.entry);
  return found.outcome == kv::Outcome::ok || found.outcome == kv::Outcome::absent;
}

}  // namespace reachramp::controller
