// Tracks whether all nodes have been upgraded to a version that reads the current record format.
// Each node announces permanently in the key-value store which format it reads.
#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "kv/client.h"
#include "settings/settings.h"

namespace reachramp::peers {

// The record format in member/<node>: the newest one that the node reads and writes. A node of
// version 0.2.0 has no such record, and a node that has been upgraded never runs an older version
// again.
inline constexpr std::uint64_t kMemberRecordFormat = 2;

// The key and the value of the record with which a node announces its format.
std::string member_key(const std::string& node);
kv::Json encode_member(std::uint64_t format);
// Whether each of the nodes has announced a format that is at least kMemberRecordFormat.
bool all_support_format(const std::vector<std::string>& nodes,
                        const std::vector<kv::Entry>& entries);

// Announces this node's format and checks the other nodes'. run() has a thread of its own; the
// other functions may be called from any thread.
class Members {
 public:
  Members(kv::Client& store, const settings::Platform& platform);

  // Announces this node, then polls the other nodes' records until all nodes have been upgraded.
  void run();
  // Whether all nodes are known to have been upgraded. Never becomes false again.
  bool all_upgraded() const { return all_upgraded_; }
  // The same, but reads the records if that is not known yet. None if the store does not answer.
  std::optional<bool> check_all_upgraded();

 private:
  // Stores this node's record unless it is stored already. False if that did not succeed.
  bool announce();

  kv::Client& store_;
  const std::string own_name_;
  std::vector<std::string> node_names_;
  std::atomic<bool> all_upgraded_{false};
};

}  // namespace reachramp::peers
