#include "checker/event_history.h"

#include <fmt/format.h>

namespace reachramp::lab {

void EventHistory::record(double at, const std::string& subject, const std::string& what) {
  if (events_.size() == max_events_) events_.pop_front();
  events_.push_back({at, subject, what});
}

std::string EventHistory::line(const Event& event) {
  return fmt::format("{:.4f} {} {}", event.at, event.subject, event.what);
}

std::vector<std::string> EventHistory::lines() const {
  std::vector<std::string> found;
  for (const Event& event : events_) found.push_back(line(event));
  return found;
}

std::vector<std::string> EventHistory::lines_about(const std::set<std::string>& subjects,
                                                   double from, double until) const {
  std::vector<std::string> found;
  for (const Event& event : events_) {
    if (event.at < from || event.at > until || !subjects.contains(event.subject)) continue;
    found.push_back(line(event));
  }
  return found;
}

}  // namespace reachramp::lab
