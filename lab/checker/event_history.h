// Record of what an emulator did, for finding out what led to a test's failure.
#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace reachramp::lab {

// Events in the order in which they were recorded. Once the history is full, each new event
// replaces the oldest.
class EventHistory {
 public:
  static constexpr std::size_t kMaxEvents = 100'000;

  explicit EventHistory(std::size_t max_events = kMaxEvents) : max_events_(max_events) {}

  // Adds an event. `at`: its time in seconds. `subject`: what it concerns, such as a machine's
  // name.
  void record(double at, const std::string& subject, const std::string& what);

  // All events, a line each: time, subject, what happened.
  std::vector<std::string> lines() const;
  // Only the events of these subjects whose times lie between `from` and `until`, a line each.
  std::vector<std::string> lines_about(const std::set<std::string>& subjects, double from,
                                       double until) const;

 private:
  struct Event {
    double at = 0;
    std::string subject;
    std::string what;
  };
  static std::string line(const Event& event);

  std::size_t max_events_;
  std::deque<Event> events_;
};

}  // namespace reachramp::lab
