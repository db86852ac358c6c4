#include "wire/thread_pool.h"

#include <thread>

namespace reachramp::wire {

ThreadPool::~ThreadPool() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  ready_.notify_all();
  gone_.wait(lock, [&] { return threads_ == 0; });
}

void ThreadPool::run(Work work) {
  std::lock_guard lock(mutex_);
  waiting_.push_back(std::move(work));
  if (idle_ >= waiting_.size()) {
    ready_.notify_one();
    return;
  }
  try {
    std::thread([this] { serve(); }).detach();
    ++threads_;
  } catch (...) {
    waiting_.pop_back();
    throw;
  }
}

std::size_t ThreadPool::threads() const {
  std::lock_guard lock(mutex_);
  return threads_;
}

std::size_t ThreadPool::idle() const {
  std::lock_guard lock(mutex_);
  return idle_;
}

void ThreadPool::serve() {
  std::unique_lock lock(mutex_);
  for (;;) {
    ++idle_;
    const bool any =
        ready_.wait_for(lock, idle_for_, [&] { return stopping_ || !waiting_.empty(); });
    --idle_;
    if (!any || waiting_.empty()) break;
    {
      const Work work = std::move(waiting_.front());
      waiting_.pop_front();
      lock.unlock();
      work();
    }
    lock.lock();
  }
  --threads_;
  gone_.notify_all();
}

}  // namespace reachramp::wire
