// A queue between threads; the reader takes everything that waits in one go.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace reachramp::controller {

template <class Item>
class Queue {
 public:
  void push(Item item) {
    bool was_empty = false;
    {
      std::lock_guard lock(mutex_);
      was_empty = items_.empty();
      items_.push_back(std::move(item));
    }
    if (was_empty) ready_.notify_one();
  }

  // Waits until something is there or the time is over.
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
