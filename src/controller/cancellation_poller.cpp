#include "controller/cancellation_poller.h"

namespace reachramp::controller {

void CancellationPoller::run() {
  for (;;) {
    for (const CancellationPoll& poll : polls_.take(std::chrono::hours(1))) {
      if (election_.status().fencing_token != poll.fencing_token) continue;
      events_.push(
          {poll.fencing_token, CancellationsPolled{health_.poll_cancellations(poll.windows_s)}});
    }
  }
}

}  // namespace reachramp::controller
