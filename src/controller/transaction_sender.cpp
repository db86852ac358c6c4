#include "controller/transaction_sender.h"

namespace reachramp::controller {

void TransactionSender::run() {
  for (;;) {
    for (const TransactionRequest& request : requests_.take(std::chrono::hours(1))) {
      if (election_.status().fencing_token != request.fencing_token) continue;
      events_.push(
          {request.fencing_token, TransactionCompleted{store_.commit(request.transaction)}});
    }
  }
}

}  // namespace reachramp::controller
