// What a stand-in saw, in the order of time and bounded: the oldest events are dropped first. It is
// read when a test has failed, to find out what led to it.
#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace reachramp::lab {

class EventHistory {
 public:
  static constexpr std::size_t kMaxEvents = 100'000;

  explicit EventHistory(std::size_t most_events = kMaxEvents) : max_events_(most_events) {}

  // `subject`: whom it is about, such as a machine.
  void record(double at, const std::string& subject, const std::string& what);

  // A line an event: time, subject, what happened.
  std::vector<std::string> lines() const;
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
