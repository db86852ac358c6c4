// A queue between threads; a reader takes all queued items at once.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace reachramp::controller {

// A queue for any number of writers and readers. Its functions may be called from any thread.
template <class Item>
class Queue {
 public:
  // Appends an item and wakes one reader if the queue was empty.
  void push(Item item) {
    bool was_empty = false;
    {
      std::lock_guard lock(mutex_);
      was_empty = items_.empty();
      items_.push_back(std::move(item));
    }
    if (was_empty) ready_.notify_one();
  }

  // Waits until the queue is not empty, for at most `timeout`, and returns all items; none after a
  // timeout.
  std::vector<Item> take(std::chrono::duration<double> timeout) {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, timeout, [&] { return !items_.empty(); });
    return std::exchange(items_, {});
  }

 private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::vector<Item> items_;
};

}  // namespace reachramp::controller
