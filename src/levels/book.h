// One node's view of the levels: announces what its process speaks for as long as it lives, and
// follows the level that is stored.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>

#include "levels/levels.h"
#include "settings/settings.h"
#include "state/client.h"

namespace reachramp::levels {

// Of the settings that nodes must share: teams, limits, objectives, who the nodes are.
std::uint64_t digest_of(const settings::Platform& platform);

class Book {
 public:
  Book(state::Client& state, const settings::Platform& platform, const Speech& speech);

  // For a thread of its own; never returns. `locked` is told whether this process must serve
  // nobody.
  void run(const std::function<void(bool)>& locked);

  // What a node's write is to be conditional on; a look at the state service if it is not known
  // yet. Nothing: it does not answer, or this process is locked out.
  std::optional<std::uint64_t> stamp();
  // The same with the level itself.
  std::optional<View> view();
  // The stamp, read anew: the level has changed behind our back.
  std::optional<std::uint64_t> look();
  bool locked() const { return locked_; }
  // Whether another living process is of a later version, and should lead rather than this one.
  bool another_should_lead() const { return yields_; }

 private:
  bool announce();
  bool read(std::uint64_t* epoch);
  void learn(const std::optional<state::Json>& value, std::uint64_t stamp);
  void look_at_others();

  state::Client& state_;
  const Speech speech_;
  const std::string node_;
  const std::uint64_t digest_;
  std::uint64_t permit_ = 0;
  std::uint64_t position_ = 0;  // of the watch
  std::mutex mutex_;
  std::optional<std::uint64_t> stamp_;
  Stored stored_;     // with that stamp
  std::string told_;  // why it is locked out, as last logged
  bool told_unreadable_ = false;
  std::string differ_;  // nodes with other settings, as last logged
  std::atomic<bool> locked_{false};
  std::atomic<bool> yields_{false};
};

}  // namespace reachramp::levels
