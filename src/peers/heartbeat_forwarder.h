// Carries workers' reports to the leader. Workers stay where they are: were all of them at the
// leader, its death would silence the whole fleet at once.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "settings/settings.h"
#include "wire/http.h"

namespace reachramp::peers {

inline constexpr const char* kForwardToLeaderPath = "/relay/report";
// The same, by way of another node: a cut between two zones need not keep either from the third.
inline constexpr const char* kIntermediateHopPath = "/relay/onward";

// The status of an answer that whoever carries a report passes on as it is.
inline constexpr int kStatusMisdirectedRequest = 421;

class HeartbeatForwarder {
 public:
  explicit HeartbeatForwarder(const settings::Platform& platform);

  // The leader's response, or nothing if it cannot be had before `until` (steady seconds): straight
  // from the leader or, if that fails and `detour` is allowed, through another node. Without the
  // leader's name: through whoever knows it.
  std::optional<wire::Response> forward(const std::string& leader, const wire::Json& heartbeat,
                                        bool allow_intermediate_node, double deadline);

 private:
  class Slot;

  std::optional<wire::Response> send_to(const std::string& node, const char* path,
                                        const wire::Json& heartbeat, double timeout_s,
                                        double deadline);
  bool recently_unreachable(const std::string& node, double now);

  std::map<std::string, std::unique_ptr<wire::Client>> clients_;
  std::mutex mutex_;
  std::condition_variable slot_freed_;
  std::size_t free_slots_;  // reports that may still be carried at the same time
  std::map<std::string, double> unreachable_until_;
};

}  // namespace reachramp::peers
