// Which versions the nodes run: each says in the key-value store, for good, what it can read.
#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "kv/client.h"
#include "settings/settings.h"

namespace reachramp::peers {

// member/<name>: the newest form of records that the node reads and writes. A node of version 0.2.0
// has none; one that has been changed to a later version never runs an older one again.
inline constexpr std::uint64_t kMemberRecordFormat = 2;

std::string member_key(const std::string& node);
kv::Json encode_member(std::uint64_t format);
// Whether each of the nodes reads what this version writes.
bool all_support_format(const std::vector<std::string>& nodes,
                        const std::vector<kv::Entry>& entries);

class Members {
 public:
  Members(kv::Client& store, const settings::Platform& platform);

  // Announces this node and looks out for the others until all are there; for a thread of its own.
  void run();
  // Whether no node runs an old version any more. Once so, always so.
  bool all_upgraded() const { return all_upgraded_; }
  // The same, by a look at the key-value store if it is not known yet. Nothing: it does not answer.
  std::optional<bool> check_all_upgraded();

 private:
  bool announce();

  kv::Client& store_;
  const std::string own_name_;
  std::vector<std::string> node_names_;
  std::atomic<bool> all_upgraded_{false};
};

}  // namespace reachramp::peers
